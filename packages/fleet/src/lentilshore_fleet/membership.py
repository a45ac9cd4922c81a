"""Membership of the fleet: who is alive, by which incarnation, linked to whom."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.types import Address, Incarnation

HEARTBEAT_INTERVAL_S = 1.25
SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 10.0
FORGET_AFTER_S = 600.0
PAUSE_AFTER_S = 3.0
REMOTE_LINKS = 2
WATCHERS_PER_DATA_CENTRE = 2
NEWS_LIMIT = 16
NEWS_REPEATS = 8


class MemberState(int, Enum):
    """State of a member; a later one counts before an earlier one.

    A member refutes a false suspicion or death by raising its refutation
    number. Having left is final for an incarnation.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """A node as the others know it.

    :param incarnation: its name and life.
    :param data_centre: where it runs.
    :param address: its peer listener.
    :param state: what is believed of it.
    :param refutation: rises each time the member refutes a suspicion.
    """

    incarnation: Incarnation
    data_centre: str
    address: Address
    state: MemberState = MemberState.ALIVE
    refutation: int = 0

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.incarnation.node

    def supersedes(self, other: Member) -> bool:
        """Tell whether this news is newer than another of the same instance."""
        if self.incarnation.number != other.incarnation.number:
            return self.incarnation.number > other.incarnation.number
        if MemberState.LEFT in (self.state, other.state):
            return self.state > other.state
        return (self.refutation, self.state) > (other.refutation, other.state)


class _News:
    def __init__(self, member: Member) -> None:
        self.member = member
        self.repeats = 0


class Membership:
    """Members known to one node.

    :param own: this node.
    :param clock: measures silence.
    """

    def __init__(self, own: Member, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._members: dict[str, Member] = {own.name: own}
        self._changed_at: dict[str, float] = {own.name: clock.monotonic()}
        self._heard_at: dict[str, float] = {}
        self._news: dict[str, _News] = {}
        self._ticked_at = clock.monotonic()
        self._superseded: set[str] = set()
        self._contacts: dict[str, Member] = {}

    @property
    def superseded(self) -> set[str]:
        """Incarnations that a later one of the same instance has replaced."""
        return set(self._superseded)

    @property
    def own(self) -> Member:
        """Member record of the node itself."""
        return self._own

    @property
    def members(self) -> list[Member]:
        """Every member known, dead ones included, by name."""
        return sorted(self._members.values())

    @property
    def live(self) -> list[Member]:
        """Members that are alive or only suspected, by name."""
        return [m for m in self.members if m.state <= MemberState.SUSPECT]

    def find(self, name: str) -> Member | None:
        """Return a member by the name of its instance."""
        return self._members.get(name)

    def is_live(self, incarnation: str) -> bool:
        """Tell whether an incarnation is alive or only suspected."""
        member = self._members.get(incarnation.rpartition(".")[0])
        return (
            member is not None
            and str(member.incarnation) == incarnation
            and member.state <= MemberState.SUSPECT
        )

    def record_heartbeat(self, name: str) -> None:
        """Note a sign of life received from a linked member itself."""
        self._heard_at[name] = self._clock.monotonic()
        member = self._members.get(name)
        if member is not None and member.state is MemberState.SUSPECT:
            self._set(member._replace(state=MemberState.ALIVE))

    def merge(self, members: Iterable[Member]) -> list[Member]:
        """Take in news from a peer or from the instance list.

        :param members: what others believe.
        :returns: the news that was new.
        """
        return [member for member in members if self._learn(member)]

    def detect_failures(self, watched: Iterable[str]) -> list[Member]:
        """Suspect silent members and remove those suspected for long.

        If this node was itself paused, silence proves nothing: the timers
        start again.

        :param watched: names of members this node exchanges heartbeats with.
        :returns: members whose state changed.
        """
        now = self._clock.monotonic()
        paused = now - self._ticked_at > PAUSE_AFTER_S
        self._ticked_at = now
        if paused:
            self._heard_at = dict.fromkeys(self._heard_at, now)
            return []
        changed = [self._judge(name, now) for name in watched]
        changed += [self._expire(member, now) for member in self.members]
        return [member for member in changed if member is not None]

    def leave(self) -> Member:
        """Declare that this node has left in good order."""
        self._own = self._own._replace(state=MemberState.LEFT)
        self._set(self._own)
        return self._own

    def next_gossip(self) -> list[Member]:
        """Return recent changes to tell a peer, fewest-told first."""
        items = sorted(self._news.items(), key=lambda item: item[1].repeats)
        told = items[:NEWS_LIMIT]
        for name, item in told:
            item.repeats += 1
            if item.repeats >= NEWS_REPEATS:
                del self._news[name]
        return [item.member for _, item in told]

    def add_contacts(self, members: Iterable[Member]) -> None:
        """Note where instances can be met, whoever lives there now.

        :param members: instances from the settings or the platform's list, with
            incarnation number 0.
        """
        for member in members:
            if member.name != self._own.name:
                self._contacts[member.name] = member
                self._learn(member)

    def probe_targets(self) -> list[Member]:
        """Return members to look for: those believed dead, and unknown contacts."""
        dead = [m for m in self.members if m.state is MemberState.DEAD]
        unknown = [m for n, m in self._contacts.items() if n not in self._members]
        return sorted(dead + unknown)

    def suspicion_of(self, name: str) -> list[Member]:
        """Return what a member must know to refute it: that it is not alive."""
        member = self._members.get(name)
        if member is None or member.state not in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        ):
            return []
        return [member]

    def link_targets(self) -> list[Member]:
        """Return the members this node keeps a link to.

        In its own data centre these are at distances 1, 2, 4 and so on along a
        fixed order; besides, some in other data centres.
        """
        local = ring_fingers(self._own, self._in_data_centre(self._own.data_centre))
        others = [m for m in self.live if m.data_centre != self._own.data_centre]
        others.sort(key=lambda m: _rank(f"{self._own.name}/{m.name}"))
        chosen: dict[str, Member] = {}
        for member in others:
            if member.data_centre not in chosen and len(chosen) < REMOTE_LINKS:
                chosen[member.data_centre] = member
        return local + list(chosen.values())

    def watchers(self) -> list[Member]:
        """Return the members of this data centre that watch the platform."""
        local = self._in_data_centre(self._own.data_centre)
        local.sort(key=lambda m: (m.state, _rank(f"watch/{m.name}")))
        return local[:WATCHERS_PER_DATA_CENTRE]

    def is_watcher(self) -> bool:
        """Tell whether this node watches the platform."""
        return any(member.name == self._own.name for member in self.watchers())

    def _in_data_centre(self, data_centre: str) -> list[Member]:
        return [m for m in self.live if m.data_centre == data_centre]

    def _learn(self, member: Member) -> bool:
        if member.name == self._own.name:
            return self._learn_of_self(member)
        known = self._members.get(member.name)
        if known is not None and not member.supersedes(known):
            return False
        if known is None and member.state >= MemberState.DEAD:
            return False
        if known is None or known.incarnation != member.incarnation:
            self._heard_at.pop(member.name, None)
            if known is not None and known.incarnation.number:
                self._superseded.add(str(known.incarnation))
        self._set(member)
        return True

    def _learn_of_self(self, member: Member) -> bool:
        if member.incarnation != self._own.incarnation:
            return False
        refutable = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        if not refutable or member.refutation < self._own.refutation:
            return False
        if self._own.state is MemberState.ALIVE:
            self._own = self._own._replace(refutation=member.refutation + 1)
            self._set(self._own)
        return True

    def _set(self, member: Member) -> None:
        self._members[member.name] = member
        self._changed_at[member.name] = self._clock.monotonic()
        self._news[member.name] = _News(member)

    def _judge(self, name: str, now: float) -> Member | None:
        member = self._members.get(name)
        if member is None or member.state is not MemberState.ALIVE:
            return None
        heard = self._heard_at.setdefault(name, now)
        if now - heard < SUSPECT_AFTER_S:
            return None
        suspected = member._replace(state=MemberState.SUSPECT)
        self._set(suspected)
        return suspected

    def _expire(self, member: Member, now: float) -> Member | None:
        age = now - self._changed_at[member.name]
        if member.state is MemberState.SUSPECT and age >= DEAD_AFTER_S:
            dead = member._replace(state=MemberState.DEAD)
            self._set(dead)
            return dead
        if member.state >= MemberState.DEAD and age >= FORGET_AFTER_S:
            del self._members[member.name]
            del self._changed_at[member.name]
        return None


def ring_fingers(own: Member, members: Iterable[Member]) -> list[Member]:
    """Return the members at distances 1, 2, 4 and so on after one of them.

    :param own: the one to start from.
    :param members: all members of the ring.
    """
    ring = sorted(members, key=lambda m: _rank(m.name))
    names = [member.name for member in ring]
    if own.name not in names:
        return []
    start = names.index(own.name)
    fingers = []
    distance = 1
    while distance < len(ring):
        fingers.append(ring[(start + distance) % len(ring)])
        distance *= 2
    return fingers


def _rank(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
