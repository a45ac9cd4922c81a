"""Documents that watcher nodes read from the platform and nodes relay to each other."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

# Names of the documents.
INSTANCES_DOCUMENT = "instances"
MERGED_REPORTS_DOCUMENT = "learned"
SHARES_DOCUMENT = "shares"


class Document(NamedTuple):
    """A named value with a version that only rises.

    :param name: name of the document.
    :param version: version of the document, at least 1.
    :param value: JSON value of the document.
    """

    name: str
    version: int
    value: Any


class DocumentCache:
    """The newest known version of each document on one node."""

    def __init__(self) -> None:
        self._documents: dict[str, Document] = {}
        self._listeners: dict[str, list[Callable[[Any], None]]] = {}

    @property
    def versions(self) -> dict[str, int]:
        """Version of each known document, by name."""
        return {name: item.version for name, item in self._documents.items()}

    def version(self, name: str) -> int:
        """Return the version of a document, 0 if it is not known."""
        document = self._documents.get(name)
        return document.version if document else 0

    def value(self, name: str) -> Any:
        """Return the value of a document, or None if it is not known."""
        document = self._documents.get(name)
        return document.value if document else None

    def on_change(self, name: str, listener: Callable[[Any], None]) -> None:
        """Register a function to call with each new value of a document.

        :param name: name of the document.
        :param listener: receives the new value.
        """
        self._listeners.setdefault(name, []).append(listener)

    def update(self, document: Document) -> bool:
        """Store a document and call its listeners if it is newer than the known one.

        :returns: whether it was newer.
        """
        if document.version <= self.version(document.name):
            return False
        self._documents[document.name] = document
        for listener in self._listeners.get(document.name, ()):
            listener(document.value)
        return True

    def newer_than(self, versions: Mapping[str, int]) -> Iterable[Document]:
        """Return the documents that a peer lacks or has in an older version.

        :param versions: versions of the documents that the peer has, by name.
        """
        return [
            document
            for document in self._documents.values()
            if document.version > versions.get(document.name, 0)
        ]
