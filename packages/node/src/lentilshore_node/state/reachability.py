"""Whether a node can reach the platform and its peers."""

from __future__ import annotations


class Reachability:
    """Result of the last call to the platform, and the number of connected peers."""

    def __init__(self) -> None:
        self._platform_reached = True
        self._link_count = 0

    @property
    def isolated(self) -> bool:
        """Whether neither the platform nor any peer is reachable."""
        return not self._platform_reached and self._link_count == 0

    @property
    def linked(self) -> bool:
        """Whether at least one peer is reachable."""
        return self._link_count > 0

    def record_platform_call(self, reached: bool) -> None:
        """Record whether the last call to the platform was answered."""
        self._platform_reached = reached

    def record_link_count(self, count: int) -> None:
        """Record the number of links to peers that are connected."""
        self._link_count = count
