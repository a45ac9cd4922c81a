"""Record of what was sent, answered and run."""

from __future__ import annotations

import json
import time
from pathlib import Path


class Record:
    """Writes one line of JSON for each event.

    :param path: path of the file.
    """

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began_at = time.monotonic()
        self.events = []

    @property
    def now(self) -> float:
        """Time since the record began, seconds."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **values) -> float:
        """Write an event; return its time, seconds."""
        now = round(self.now, 4)
        entry = {"t": now, "event": event, **values}
        self.events.append(entry)
        self._file.write(json.dumps(entry) + "\n")
        self._file.flush()
        return now
