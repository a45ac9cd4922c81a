"""Whether a node can reach the platform and its peers."""

from __future__ import annotations


class Reachability:
    """Result of the last call to the platform, and the number of working peer links."""

    def __init__(self) -> None:
        self._platform = True
        self._links = 0

    @property
    def isolated(self) -> bool:
        """Whether neither the platform nor any peer is reachable."""
        return not self._platform and self._links == 0

    @property
    def linked(self) -> bool:
        """Whether at least one peer is reachable."""
        return self._links > 0

    def record_platform_call(self, reached: bool) -> None:
        """Record whether the last call to the platform was answered."""
        self._platform = reached

    def record_link_count(self, count: int) -> None:
        """Record the number of working links to peers."""
        self._links = count
