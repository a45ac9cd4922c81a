"""Adapter to the platform: object store, instance list and rating service."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol
from urllib.parse import quote

import msgspec

from lentilshore_fleet.store import VALUE_LIMIT_BYTES, ObjectStore, StoredObject
from lentilshore_kernel.exceptions import (
    StoreAmbiguousError,
    StoreConflictError,
    StoreUnavailableError,
    StoreValueTooLargeError,
)
from lentilshore_kernel.registry import plugin
from lentilshore_kernel.types import Address

from .http_client import HttpAnswer, HttpClient
from .http_connection import CallBrokenError, CallNotSentError

WATCH_TIMEOUT_S = 25.0


class Rating(NamedTuple):
    """A rating of an answer; it may arrive late or more than once.

    :param sequence: number of the rating within the rating service's list.
    :param request: identifier of the request.
    :param good: whether the answer was good.
    """

    sequence: int
    request: str
    good: bool


class Platform(Protocol):
    """The platform's services that a node uses."""

    @property
    def store(self) -> ObjectStore:
        """The object store."""

    async def instances(self, after: int) -> tuple[int, list[dict[str, Any]]]:
        """Wait for a newer list of instances.

        :param after: version of the list that is known.
        :returns: version of the newer list and the list; version 0 if none came in
            time.
        """

    async def ratings(self, after: int, incarnation: str) -> list[Rating]:
        """Return ratings of one incarnation's answers after a sequence number."""


class HttpObjectStore:
    """The object store over HTTP.

    :param http: client.
    :param address: address of the platform.
    :param timeout_s: longest wait for one call, seconds.
    """

    def __init__(self, http: HttpClient, address: Address, timeout_s: float) -> None:
        self._http = http
        self._address = address
        self._timeout_s = timeout_s

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        answer = await self._read("GET", f"/objects/{quote(key, safe='')}")
        return None if answer.status == 404 else _read_object(answer)

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose keys begin with a prefix, by key."""
        answer = await self._read("GET", f"/objects?prefix={quote(prefix, safe='')}")
        return [StoredObject(**item) for item in answer.json()]

    async def watch(self, key: str, after_version: int) -> StoredObject | None:
        """Wait until an object is newer than a version; None if none came in time."""
        path = f"/watch/{quote(key, safe='')}?after={after_version}"
        answer = await self._read("GET", path, WATCH_TIMEOUT_S + self._timeout_s)
        # A removed object has no newer version to wait for.
        return None if answer.status in (204, 404) else _read_object(answer)

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write an object if its version is the expected one."""
        body = msgspec.json.encode(value)
        if len(body) > VALUE_LIMIT_BYTES:
            raise StoreValueTooLargeError(f"{key}: value has {len(body)} bytes")
        answer = await self._write("PUT", key, expected_version, body)
        return int(answer.json()["version"])

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object if its version is the expected one."""
        await self._write("DELETE", key, expected_version, None)

    async def _read(
        self, method: str, path: str, timeout_s: float | None = None
    ) -> HttpAnswer:
        try:
            answer = await self._http.request(
                method, self._address, path, timeout_s=timeout_s or self._timeout_s
            )
        except (CallNotSentError, CallBrokenError) as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        if answer.status not in (200, 204, 404):
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        return answer

    async def _write(
        self, method: str, key: str, expected_version: int, body: bytes | None
    ) -> HttpAnswer:
        path = f"/objects/{quote(key, safe='')}"
        headers = {"if-match": str(expected_version)}
        try:
            answer = await self._http.request(
                method, self._address, path, body, headers, self._timeout_s
            )
        except CallNotSentError as error:
            raise StoreUnavailableError(f"{key}: {error}") from error
        except CallBrokenError as error:
            raise StoreAmbiguousError(f"{key}: {error}") from error
        if answer.status == 412:
            raise StoreConflictError(key, int(answer.json()["version"]))
        if answer.status in (429, 503):
            raise StoreUnavailableError(f"{key}: status {answer.status}")
        if answer.status != 200:
            raise StoreAmbiguousError(f"{key}: status {answer.status}")
        return answer


class HttpPlatform:
    """The platform over HTTP.

    :param http: client.
    :param address: address of the platform.
    :param timeout_s: longest wait for one call, seconds.
    """

    def __init__(self, http: HttpClient, address: Address, timeout_s: float) -> None:
        self._http = http
        self._address = address
        self._timeout_s = timeout_s
        self._store = HttpObjectStore(http, address, timeout_s)

    @property
    def store(self) -> ObjectStore:
        """The object store."""
        return self._store

    async def instances(self, after: int) -> tuple[int, list[dict[str, Any]]]:
        """Wait for a newer list of instances.

        :param after: version of the list that is known.
        :returns: version of the newer list and the list; version 0 if none came in
            time.
        :raises StoreUnavailableError: if the platform is not reached.
        """
        timeout_s = WATCH_TIMEOUT_S + self._timeout_s
        answer = await self._fetch(f"/instances?after={after}", timeout_s)
        if answer.status == 204:
            return 0, []
        body = answer.json()
        return body["version"], body["instances"]

    async def ratings(self, after: int, incarnation: str) -> list[Rating]:
        """Return ratings of one incarnation's answers after a sequence number.

        :raises StoreUnavailableError: if the platform is not reached.
        """
        answer = await self._fetch(f"/ratings?after={after}&of={incarnation}")
        return [Rating(**item) for item in answer.json()]

    async def _fetch(self, path: str, timeout_s: float | None = None) -> HttpAnswer:
        try:
            answer = await self._http.request(
                "GET", self._address, path, timeout_s=timeout_s or self._timeout_s
            )
        except (CallNotSentError, CallBrokenError) as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        if answer.status not in (200, 204):
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        return answer


@plugin("platform", "object-api")
def create_platform(http: HttpClient, address: Address, timeout_s: float) -> Platform:
    """Create the adapter to the platform's HTTP services."""
    return HttpPlatform(http, address, timeout_s)


def _read_object(answer: HttpAnswer) -> StoredObject:
    return StoredObject(**answer.json())
