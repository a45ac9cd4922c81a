"""Messages in which gateways tell one another of crashes.

Digests go as bytes and ages as whole milliseconds. What a gateway knows is divided into
groups, so that checksums of the groups show where two gateways differ.
"""

from __future__ import annotations

import struct
import zlib
from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

from lentilshore_kernel.exceptions import LentilshoreError
from lentilshore_routing.crash_blame import MAX_CAUSES
from lentilshore_routing.crash_causes import SUSPECT_CRASHES
from lentilshore_routing.crash_news import AnswerNews, CauseNews, CrashNews

# Number of groups of causes, by the first byte of the digest.
GROUPS = 8
# Causes that are not blamed in one answer, and that are asked for in one call.
MAX_SUSPECTS_TOLD = 40
# The same of a gateway that knows as many causes as it can keep: another one that does
# seldom keeps the same ones.
MAX_SUSPECTS_TOLD_WHEN_FULL = 6
# A cause is told again if it was seen more recently than the other gateway knows, by
# more than this time.
SEEN_STEP_S = 15.0
MAX_SEEN_AGE_S = 255

# Kind of a fact, the digest that it names, and the rank of a crash.
Fact = tuple[str, str, int]

_CHECKSUMS = struct.Struct(f">{GROUPS}I")
# Digest and time since a request with the cause was last seen, whole seconds.
_SEEN = struct.Struct(">8sB")
_CHECKSUM = struct.Struct(">I")


class UnreadableBlameError(LentilshoreError):
    """What a gateway has told of crashes can't be read."""


class ToldCrash(NamedTuple):
    """:class:`CrashNews` in a message."""

    replica: bytes
    rank: int
    age_ms: float


class ToldAnswer(NamedTuple):
    """:class:`AnswerNews` in a message."""

    request: bytes
    age_ms: float


class ToldCause(NamedTuple):
    """:class:`CauseNews` in a message."""

    cause: bytes
    position: int
    crashes: tuple[ToldCrash, ...]
    answers: tuple[ToldAnswer, ...]
    answered_before: int
    seen_age_ms: float


class BlameCall(NamedTuple):
    """What the caller tells.

    :param news: what it tells unasked.
    :param checksums: checksums of all that it knows, one a group; empty if it asks for
        nothing.
    :param seen: when it last saw the blamed causes.
    :param wanted: checksums of causes to tell of.
    """

    news: Sequence[ToldCause] = ()
    checksums: bytes = b""
    seen: bytes = b""
    wanted: bytes = b""


class BlameAnswer(NamedTuple):
    """What the other gateway answers.

    :param news: what it tells.
    :param differing: groups in which it knows other things than the caller, a bit each.
    :param known: checksums of all causes that it knows in these groups.
    """

    news: Sequence[ToldCause] = ()
    differing: int = 0
    known: bytes = b""


def encode_news(item: CauseNews) -> ToldCause:
    """Return news as it goes into a message."""
    return ToldCause(
        bytes.fromhex(item.cause),
        item.position,
        tuple(
            ToldCrash(bytes.fromhex(crash.replica), crash.rank, _to_ms(crash.age_s))
            for crash in item.crashes
        ),
        tuple(
            ToldAnswer(bytes.fromhex(answer.request), _to_ms(answer.age_s))
            for answer in item.answers
        ),
        item.answered_before,
        _to_ms(item.seen_age_s),
    )


def decode_news(told: ToldCause) -> CauseNews:
    """Return news from a message; it may be unsound."""
    return CauseNews(
        told.cause.hex(),
        told.position,
        tuple(
            CrashNews(crash.replica.hex(), crash.rank, crash.age_ms / 1_000)
            for crash in told.crashes
        ),
        tuple(
            AnswerNews(answer.request.hex(), answer.age_ms / 1_000)
            for answer in told.answers
        ),
        told.answered_before,
        told.seen_age_ms / 1_000,
    )


def decode_call(body: bytes) -> BlameCall:
    """Return a call.

    :param body: body of the call.
    :raises UnreadableBlameError: if it can't be read.
    """
    call: BlameCall = _decode(body, BlameCall)
    if call.checksums and len(call.checksums) != _CHECKSUMS.size:
        raise UnreadableBlameError("news of crashes: checksums of another length")
    if len(call.seen) % _SEEN.size or len(call.wanted) % _CHECKSUM.size:
        raise UnreadableBlameError("news of crashes: causes of another length")
    return call


def decode_answer(status: int, body: bytes) -> BlameAnswer:
    """Return an answer.

    :param status: status of the HTTP answer.
    :param body: its body.
    :raises UnreadableBlameError: if it can't be read.
    """
    if status != 200:
        raise UnreadableBlameError(f"status {status}")
    answer: BlameAnswer = _decode(body, BlameAnswer)
    if len(answer.known) % _CHECKSUM.size:
        raise UnreadableBlameError("news of crashes: known causes of another length")
    return answer


def checksum(item: CauseNews) -> int:
    """Return a checksum of what is known of a cause, its times excepted."""
    return zlib.crc32(repr((item.cause, sorted(facts(item)))).encode())


def facts(item: CauseNews) -> frozenset[Fact]:
    """Return what is known of a cause as facts that gateways tell one another."""
    found: set[Fact] = {("crash", crash.replica, crash.rank) for crash in item.crashes}
    if len(item.crashes) < SUSPECT_CRASHES:
        # Whatever the answers are, one crash explains nothing and blames nothing.
        return frozenset(found)
    if item.answered_before:
        found.add(("answered", "", 0))
    if item.settled:
        # Each gateway gets other answers to a cause that all are served.
        newest = min(item.crashes, key=lambda crash: crash.age_s)
        found.add(("settled", newest.replica, 0))
    else:
        found.update(("answer", answer.request, 0) for answer in item.answers)
    return frozenset(found)


class Knowledge:
    """What a gateway knows at a moment, for the comparison with another one.

    :param items: all that it tells.
    :param blamed: digests of the blamed causes.
    """

    def __init__(self, items: Iterable[CauseNews], blamed: Collection[str]) -> None:
        self._items = {item.cause: item for item in items}
        self._blamed = blamed
        self._groups: dict[int, dict[str, int]] = defaultdict(dict)
        for item in self._items.values():
            self._groups[_group(item.cause)][item.cause] = checksum(item)

    @property
    def _max_suspects(self) -> int:
        is_full = len(self._items) >= MAX_CAUSES
        return MAX_SUSPECTS_TOLD_WHEN_FULL if is_full else MAX_SUSPECTS_TOLD

    def ask(self) -> BlameCall:
        """Return the call that asks another gateway what it knows otherwise."""
        seen = b"".join(
            _SEEN.pack(bytes.fromhex(cause), _to_seen_age(self._items[cause]))
            for cause in sorted(self._blamed)
            if cause in self._items
        )
        return BlameCall(
            (), _CHECKSUMS.pack(*(self._checksum(g) for g in range(GROUPS))), seen
        )

    def answer(self, call: BlameCall) -> BlameAnswer:
        """Return the answer to a call."""
        told = self._seen_later(call.seen)
        wanted = _unpack_checksums(call.wanted)
        told |= {cause for cause, value in self._all() if value in wanted}
        differing = 0
        known: list[int] = []
        others = _CHECKSUMS.unpack(call.checksums) if call.checksums else ()
        for group, other in enumerate(others):
            own = self._checksum(group)
            if own == other:
                continue
            if not other:
                told |= self._groups[group].keys()
                continue
            differing |= 1 << group
            known += self._groups[group].values()
        return BlameAnswer(self._select(told), differing, _pack_checksums(known))

    def reply(self, answer: BlameAnswer) -> BlameCall | None:
        """Return the call that follows an answer, None if nothing is to be told."""
        known = _unpack_checksums(answer.known)
        own = {
            cause: value
            for cause, value in self._all()
            if answer.differing >> _group(cause) & 1
        }
        news = self._select(cause for cause in own if own[cause] not in known)
        wanted = sorted(known.difference(own.values()))[: self._max_suspects]
        if not news and not wanted:
            return None
        return BlameCall(news, wanted=_pack_checksums(wanted))

    def _all(self) -> Iterator[tuple[str, int]]:
        """Yield the digests and checksums of all causes."""
        for group in self._groups.values():
            yield from group.items()

    def _checksum(self, group: int) -> int:
        """Return the checksum of a group, 0 if nothing is known in it."""
        known = self._groups.get(group)
        return zlib.crc32(repr(sorted(known.items())).encode()) if known else 0

    def _seen_later(self, seen: bytes) -> set[str]:
        """Return the causes that were seen later than another gateway knows."""
        later = set()
        for cause, age_s in _SEEN.iter_unpack(seen):
            item = self._items.get(cause.hex())
            if item is not None and age_s - item.seen_age_s > SEEN_STEP_S:
                later.add(item.cause)
        return later

    def _select(self, causes: Iterable[str]) -> list[ToldCause]:
        """Return news of all blamed causes and the most suspect of the others."""
        items = [self._items[cause] for cause in sorted(causes)]
        blamed = [item for item in items if item.cause in self._blamed]
        others = [item for item in items if item.cause not in self._blamed]
        others.sort(key=lambda item: (-len(item.crashes), _crash_age_s(item)))
        return [encode_news(i) for i in [*blamed, *others[: self._max_suspects]]]


class Spread:
    """Facts that a gateway has passed on or need not pass on."""

    def __init__(self) -> None:
        self._facts: dict[str, frozenset[Fact]] = {}

    def add(self, items: Iterable[CauseNews]) -> None:
        """Add facts that need not be passed on."""
        for item in items:
            self._facts[item.cause] = self._passed(item.cause) | facts(item)

    def take_changes(self, items: Iterable[CauseNews]) -> dict[str, frozenset[Fact]]:
        """Return the facts that have not been passed on, and count them as passed on.

        :param items: all that the gateway knows.
        :returns: facts by cause.
        """
        now = {item.cause: facts(item) for item in items}
        changes = {
            cause: new for cause in now if (new := now[cause] - self._passed(cause))
        }
        self._facts = now
        return changes

    def _passed(self, cause: str) -> frozenset[Fact]:
        return self._facts.get(cause, frozenset())


def changed_news(
    items: Iterable[CauseNews],
    changes: Mapping[str, frozenset[Fact]],
) -> list[ToldCause]:
    """Return news that tells changes, and of what was known before only what it needs.

    :param items: all that the gateway knows.
    :param changes: facts to tell by cause.
    """
    news = []
    for item in items:
        new = changes.get(item.cause)
        if not new:
            continue
        crashes = [c for c in item.crashes if ("crash", c.replica, c.rank) in new]
        if not crashes:
            crashes = [min(item.crashes, key=lambda crash: crash.age_s)]
        news.append(encode_news(item._replace(crashes=tuple(crashes))))
    return news


def _pack_checksums(values: Iterable[int]) -> bytes:
    return b"".join(_CHECKSUM.pack(value) for value in values)


def _unpack_checksums(packed: bytes) -> set[int]:
    return {value for (value,) in _CHECKSUM.iter_unpack(packed)}


def _group(cause: str) -> int:
    return int(cause[:2], 16) % GROUPS


def _crash_age_s(item: CauseNews) -> float:
    return min(crash.age_s for crash in item.crashes)


def _to_ms(age_s: float) -> int:
    return round(age_s * 1_000)


def _to_seen_age(item: CauseNews) -> int:
    return min(MAX_SEEN_AGE_S, int(item.seen_age_s))


def _decode(body: bytes, message_type: Any) -> Any:
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnreadableBlameError(f"news of crashes: {error}") from error
