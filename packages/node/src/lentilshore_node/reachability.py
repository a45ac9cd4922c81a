"""What a node can reach now: the platform and its peers."""

from __future__ import annotations


class Reachability:
    """Outcome of the last contact with the platform and with peers."""

    def __init__(self) -> None:
        self._platform = True
        self._links = 0

    @property
    def isolated(self) -> bool:
        """Whether neither the platform nor any peer is in reach."""
        return not self._platform and self._links == 0

    @property
    def linked(self) -> bool:
        """Whether at least one peer is in reach."""
        return self._links > 0

    def note_platform(self, reached: bool) -> None:
        """Note whether the last call to the platform was answered."""
        self._platform = reached

    def note_links(self, count: int) -> None:
        """Note how many links to peers work."""
        self._links = count
