"""Record of what a case sent, answered and ran."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Lines of a case, written to its file as they come.

    :param path: path of the file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._started_at = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def write(self, event: str, **values: Any) -> float:
        """Write one line; return its time since the start, seconds."""
        now = time.monotonic() - self._started_at
        line = {"s": round(now, 4), "event": event, **values}
        self.events.append(line)
        self._file.write(json.dumps(line) + "\n")
        return now

    def named(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of one kind."""
        return [line for line in self.events if line["event"] == event]
