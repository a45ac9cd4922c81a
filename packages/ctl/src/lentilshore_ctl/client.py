"""Client of operators' calls."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import anyio
import capnp
import msgspec

from lentilshore_kernel.exceptions import (
    ChangeInvalidError,
    LentilshoreError,
    RevisionConflictError,
    StoreAmbiguousError,
    StoreUnavailableError,
)
from lentilshore_kernel.types import Address
from lentilshore_protocol import load_operator_schema

CALL_TIMEOUT_S = 15.0


class NodeUnavailableError(LentilshoreError):
    """The node's operator listener was not reached."""

    exit_code = 3


class ForbiddenError(LentilshoreError):
    """The key is not known, or may not do this."""

    exit_code = 5


class NotFoundError(LentilshoreError):
    """What was asked for does not exist."""

    exit_code = 1


class Records(NamedTuple):
    """Records as in force on the node that was asked.

    :param revision: revision of its configuration.
    :param records: records by key.
    """

    revision: int
    records: dict[str, Any]


class OperatorClient:
    """Operators' calls on one connection.

    :param session: session object of the schema.
    """

    def __init__(self, session: Any) -> None:
        self._session = session

    async def read(self, kind: str = "") -> Records:
        """Return the records of a kind, of all kinds if empty."""
        answer = await self._call(self._session.read(kind=kind))
        records = {r.key: msgspec.json.decode(r.value) for r in answer.records}
        return Records(answer.revision, records)

    async def change(
        self,
        change: str,
        revision: int,
        updated: Mapping[str, Any],
        removed: tuple[str, ...] = (),
    ) -> int:
        """Make a change once.

        :param change: identifier, the same for a repeat.
        :param revision: revision that the change is made against.
        :param updated: records to set, by key.
        :param removed: keys to remove.
        :returns: the revision that contains the change.
        :raises LentilshoreError: a typed error for each kind of failure.
        """
        message = {
            "change": change,
            "revision": revision,
            "updated": [
                {"key": key, "value": msgspec.json.encode(value)}
                for key, value in updated.items()
            ],
            "removed": list(removed),
        }
        answer = await self._call(self._session.change(change=message))
        _raise_failure(answer.failure, revision)
        return answer.revision

    async def status(self) -> Any:
        """Return what the node knows of itself and of the fleet."""
        answer = await self._call(self._session.status())
        return msgspec.json.decode(answer.record)

    async def watch(self, after: int, timeout_s: float) -> int:
        """Return the node's revision once it is newer, or at the timeout."""
        call = self._session.watch(afterRevision=after, timeoutMs=int(timeout_s * 1000))
        return (await self._call(call, timeout_s + CALL_TIMEOUT_S)).revision

    async def explain(self, request: str) -> Any:
        """Return how a request was served."""
        return await self._record(self._session.explain(request=request))

    async def bills(self) -> Any:
        """Return totals by customer and upstream."""
        return await self._record(self._session.bills())

    async def rollout(self, model: str) -> Any:
        """Return a roll-out's record, exposure and evidence."""
        return await self._record(self._session.rollout(model=model))

    async def _record(self, call: Any) -> Any:
        answer = await self._call(call)
        _raise_failure(answer.failure, 0)
        return msgspec.json.decode(answer.record)

    async def _call(self, call: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        try:
            with anyio.fail_after(timeout_s):
                return await call
        except (capnp.KjException, OSError) as error:
            detail = str(error).partition("\n")[0]
            raise NodeUnavailableError(f"the node did not answer: {detail}") from error


@asynccontextmanager
async def connect(
    address: Address, key: str = "", tls: ssl.SSLContext | None = None
) -> AsyncIterator[OperatorClient]:
    """Connect to a node's operator listener.

    Must run inside ``capnp.kj_loop()``.

    :param address: the operator listener.
    :param key: the operator's key, empty on loopback without keys.
    :param tls: context for TLS, None for plain TCP.
    :raises NodeUnavailableError: if the node is not reached.
    :raises ForbiddenError: if the key is not known.
    """
    client = None
    try:
        with anyio.fail_after(CALL_TIMEOUT_S):
            stream = await capnp.AsyncIoStream.create_connection(
                address.host, address.port, ssl=tls
            )
            client = capnp.TwoPartyClient(stream)
            schema = load_operator_schema()
            answer = await client.bootstrap().cast_as(schema.Operators).login(key=key)
    except (capnp.KjException, OSError) as error:
        detail = str(error).partition("\n")[0]
        raise NodeUnavailableError(f"{address}: {detail}") from error
    try:
        _raise_failure(answer.failure, 0)
        yield OperatorClient(answer.session)
    finally:
        client.close()


def _raise_failure(failure: Any, revision: int) -> None:
    kind = str(failure.kind)
    if kind == "none":
        return
    if kind == "conflict":
        raise RevisionConflictError(revision, failure.currentRevision)
    if kind == "invalid":
        raise ChangeInvalidError(list(failure.problems) or [failure.message])
    errors: dict[str, type[LentilshoreError]] = {
        "forbidden": ForbiddenError,
        "unavailable": StoreUnavailableError,
        "ambiguous": StoreAmbiguousError,
        "notFound": NotFoundError,
    }
    raise errors[kind](failure.message)
