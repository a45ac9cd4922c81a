"""RPC client of a node's operator listener."""

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
    """The node's operator listener cannot be reached or does not answer."""

    exit_code = 3


class ForbiddenError(LentilshoreError):
    """The key is unknown, or does not permit the call."""

    exit_code = 5


class NotFoundError(LentilshoreError):
    """A requested record, request or roll-out does not exist."""

    exit_code = 1


class Records(NamedTuple):
    """Records in force on the node that answered.

    :param revision: revision of the node's configuration.
    :param records: records by key.
    """

    revision: int
    records: dict[str, Any]


class OperatorClient:
    """Operator session on one connection.

    :param session: ``Session`` capability of the schema.
    """

    def __init__(self, session: Any) -> None:
        self._session = session

    async def read(self, kind: str = "") -> Records:
        """Return the records of a kind, or of all kinds if ``kind`` is empty."""
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
        """Apply a change at most once.

        :param change: identifier of the change; reuse it to retry the same change.
        :param revision: revision that the change is made against.
        :param updated: records to set, by key.
        :param removed: keys to remove.
        :returns: the revision that contains the change.
        :raises LentilshoreError: a subclass for each kind of failure.
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
        _raise_for_failure(answer.failure, revision)
        return answer.revision

    async def status(self) -> Any:
        """Return the status of the node, and of the fleet as the node sees it."""
        answer = await self._call(self._session.status())
        return msgspec.json.decode(answer.record)

    async def watch(self, after: int, timeout_s: float) -> int:
        """Return the node's revision as soon as it is newer than ``after``.

        At the timeout, returns the revision that the node then has.

        :param after: configuration revision that the result should be newer than.
        :param timeout_s: longest wait at the node, seconds.
        """
        call = self._session.watch(afterRevision=after, timeoutMs=int(timeout_s * 1000))
        return (await self._call(call, timeout_s + CALL_TIMEOUT_S)).revision

    async def explain(self, request: str) -> Any:
        """Return how a request was served."""
        return await self._read_record(self._session.explain(request=request))

    async def bills(self) -> Any:
        """Return billed totals by customer and by upstream."""
        return await self._read_record(self._session.bills())

    async def rollout(self, model: str) -> Any:
        """Return a roll-out's record, exposure and evidence."""
        return await self._read_record(self._session.rollout(model=model))

    async def _read_record(self, call: Any) -> Any:
        answer = await self._call(call)
        _raise_for_failure(answer.failure, 0)
        return msgspec.json.decode(answer.record)

    async def _call(self, call: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        try:
            with anyio.fail_after(timeout_s):
                return await call
        except TimeoutError as error:
            raise NodeUnavailableError(f"no answer within {timeout_s:g} s") from error
        except (capnp.KjException, OSError) as error:
            detail = str(error).partition("\n")[0]
            raise NodeUnavailableError(f"node did not answer: {detail}") from error


@asynccontextmanager
async def connect(
    address: Address, key: str = "", tls: ssl.SSLContext | None = None
) -> AsyncIterator[OperatorClient]:
    """Connect to a node's operator listener.

    Must run inside ``capnp.kj_loop()``.

    :param address: address of the operator listener.
    :param key: the operator's key; empty for a node on loopback without keys.
    :param tls: TLS context, None for plain TCP.
    :raises NodeUnavailableError: if the node cannot be reached.
    :raises ForbiddenError: if the key is unknown.
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
    except TimeoutError as error:
        raise NodeUnavailableError(
            f"{address}: no answer within {CALL_TIMEOUT_S:g} s"
        ) from error
    except (capnp.KjException, OSError) as error:
        detail = str(error).partition("\n")[0]
        raise NodeUnavailableError(f"{address}: {detail}") from error
    try:
        _raise_for_failure(answer.failure, 0)
        yield OperatorClient(answer.session)
    finally:
        client.close()


def _raise_for_failure(failure: Any, expected_revision: int) -> None:
    """Raise the error of a failure.

    :param failure: failure of the schema; its kind is ``none`` after a success.
    :param expected_revision: revision that a change was made against; 0 for a call
        that changes nothing.
    """
    kind = str(failure.kind)
    if kind == "none":
        return
    if kind == "conflict":
        raise RevisionConflictError(expected_revision, failure.currentRevision)
    if kind == "invalid":
        raise ChangeInvalidError(list(failure.problems) or [failure.message])
    errors: dict[str, type[LentilshoreError]] = {
        "forbidden": ForbiddenError,
        "unavailable": StoreUnavailableError,
        "ambiguous": StoreAmbiguousError,
        "notFound": NotFoundError,
    }
    raise errors[kind](failure.message)
