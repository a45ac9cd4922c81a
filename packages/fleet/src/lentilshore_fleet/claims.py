"""Claims in the store that let a non-idempotent request be dispatched at most once."""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple, NotRequired, TypedDict

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import (
    RefusalError,
    StoreAmbiguousError,
    StoreConflictError,
    StoreUnavailableError,
)
from lentilshore_kernel.types import Execution, RefusalReason

from .store import ObjectStore, StoredObject, read_back

STORED_ANSWER_LIMIT_BYTES = 65_536
MAX_FINISH_WRITES = 3
CLAIM_RETRY_S = 2.0


class ClaimRecord(TypedDict):
    """A claim in the store.

    ``state`` is ``dispatching``, ``abandoned`` (the request was certainly not
    dispatched) or ``done`` (with the answer, if it is small enough).
    """

    attempt: str
    body_hash: str
    state: str
    answer: NotRequired[Any]


class Claim(NamedTuple):
    """A claim that is held by one attempt.

    :param key: key of the claim in the store.
    :param version: version of the stored object that holds the claim.
    :param attempt: identifier of the attempt.
    :param body_hash: SHA-256 of the request's body, in hexadecimal.
    """

    key: str
    version: int
    attempt: str
    body_hash: str


class Replay(NamedTuple):
    """The stored answer of an earlier attempt with the same idempotency key.

    :param answer: the answer; None if it was too large to store.
    """

    answer: Any


class ClaimStore:
    """Acquires and completes claims.

    :param store: the object store.
    :param clock: clock for the delays between read-backs.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def acquire(
        self, customer: str, idempotency_key: str, body: bytes, attempt: str
    ) -> Claim | Replay:
        """Acquire the claim that allows this attempt to dispatch a request.

        :param customer: name of the customer.
        :param idempotency_key: the caller's idempotency key.
        :param body: the request's body.
        :param attempt: identifier unique to this attempt.
        :returns: the claim, or the stored answer if the request has already run.
        :raises RefusalError: if another attempt holds the claim, if the key was
            used with another body, or if the store does not confirm the claim. In
            each case, this attempt has not been dispatched.
        """
        object_key = claim_key(customer, idempotency_key)
        body_hash = hashlib.sha256(body).hexdigest()
        record = ClaimRecord(attempt=attempt, body_hash=body_hash, state="dispatching")
        claim = Claim(object_key, 1, attempt, body_hash)
        try:
            version = await self._store.put(object_key, record, 0)
            return claim._replace(version=version)
        except StoreConflictError:
            pass
        except StoreAmbiguousError:
            pass
        except StoreUnavailableError as error:
            raise _claim_unavailable() from error
        return await self._resolve_by_reading(claim, record)

    async def complete(self, claim: Claim, answer: Any, answer_bytes: int) -> bool:
        """Mark a claim as done and store the answer of the request.

        :param claim: the claim held.
        :param answer: JSON value from which the answer can be replayed.
        :param answer_bytes: size of the answer; an answer larger than
            :data:`STORED_ANSWER_LIMIT_BYTES` is not stored.
        :returns: whether the store confirmed the write.
        """
        record = ClaimRecord(
            attempt=claim.attempt, body_hash=claim.body_hash, state="done"
        )
        if answer_bytes <= STORED_ANSWER_LIMIT_BYTES:
            record["answer"] = answer
        return await self._finish(claim, record)

    async def abandon(self, claim: Claim) -> bool:
        """Mark a claim as abandoned, so that another attempt may take it over.

        The request must not have been dispatched.

        :param claim: the claim held.
        :returns: whether the store confirmed the write.
        """
        record = ClaimRecord(
            attempt=claim.attempt, body_hash=claim.body_hash, state="abandoned"
        )
        return await self._finish(claim, record)

    async def _finish(self, claim: Claim, record: ClaimRecord) -> bool:
        for _ in range(MAX_FINISH_WRITES):
            try:
                await self._store.put(claim.key, record, claim.version)
                return True
            except StoreUnavailableError:
                continue
            except (StoreAmbiguousError, StoreConflictError):
                stored = await self._read(claim.key)
                if stored is not None and stored.value == record:
                    return True
        return False

    async def _read(self, key: str) -> StoredObject | None:
        try:
            return await read_back(self._store, self._clock, key)
        except StoreAmbiguousError:
            return None

    async def _resolve_by_reading(
        self, claim: Claim, record: ClaimRecord
    ) -> Claim | Replay:
        """Return the claim or a stored answer, after a write that was not confirmed."""
        try:
            stored = await read_back(self._store, self._clock, claim.key)
        except StoreAmbiguousError as error:
            raise _claim_unavailable() from error
        if stored is None:
            raise _claim_unavailable()
        found: ClaimRecord = stored.value
        if found["attempt"] == claim.attempt:
            return claim._replace(version=stored.version)
        if found["body_hash"] != claim.body_hash:
            raise RefusalError(
                RefusalReason.IDEMPOTENCY_KEY_REUSED,
                detail="this idempotency key was used with another body",
            )
        if found["state"] == "abandoned":
            return await self._take_over(claim, record, stored)
        return _replay_or_refuse(found)

    async def _take_over(
        self, claim: Claim, record: ClaimRecord, stored: StoredObject
    ) -> Claim | Replay:
        try:
            version = await self._store.put(claim.key, record, stored.version)
            return claim._replace(version=version)
        except StoreUnavailableError as error:
            raise _claim_unavailable() from error
        except (StoreConflictError, StoreAmbiguousError):
            latest = await self._read(claim.key)
        if latest is None:
            raise _claim_unavailable()
        if latest.value["attempt"] == claim.attempt:
            return claim._replace(version=latest.version)
        # Another attempt took the claim over and may run.
        return _replay_or_refuse(latest.value)


def claim_key(customer: str, idempotency_key: str) -> str:
    """Return the store key of the claim for a customer's idempotency key."""
    digest = hashlib.sha256(f"{customer}\0{idempotency_key}".encode()).hexdigest()[:40]
    return f"claims/{digest}"


def _replay_or_refuse(found: ClaimRecord) -> Replay:
    if found["state"] == "done":
        return Replay(found.get("answer"))
    raise RefusalError(
        RefusalReason.OUTCOME_UNKNOWN,
        Execution.UNKNOWN,
        "an earlier attempt with this key may be running or may have run; "
        "retry with the same key and body",
        CLAIM_RETRY_S,
    )


def _claim_unavailable() -> RefusalError:
    return RefusalError(
        RefusalReason.CLAIM_UNAVAILABLE,
        detail="the platform could not record the claim; nothing was dispatched",
        retry_after_s=CLAIM_RETRY_S,
    )
