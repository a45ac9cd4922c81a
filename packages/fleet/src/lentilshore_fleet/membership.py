"""Membership of the fleet: gossip, failure detection and choice of links."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.types import Address, Incarnation

HEARTBEAT_INTERVAL_S = 1.25
# A member is suspect after SUSPECT_AFTER_S without a heartbeat, dead if its record
# stays suspect for DEAD_AFTER_S, and removed if it stays dead or left for
# FORGET_AFTER_S.
SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 10.0
FORGET_AFTER_S = 600.0
# A node that has not checked for failures for longer takes itself to have been paused.
PAUSE_THRESHOLD_S = 3.0
MAX_REMOTE_LINKS = 2
WATCHERS_PER_DATA_CENTRE = 2
MAX_GOSSIP_MEMBERS = 16
GOSSIP_REPEATS = 8


class MemberState(int, Enum):
    """State of a member.

    Of two records of an incarnation with the same refutation number, the one with the
    higher state supersedes the other. A member that is falsely reported as suspect or
    dead refutes the report by raising its own refutation number. ``LEFT`` is final for
    an incarnation.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """Record of a node, as nodes exchange it by gossip.

    :param incarnation: instance name and incarnation number of the node.
    :param data_centre: data centre of the node.
    :param address: address of the node's peer listener.
    :param state: state that the sender of the record takes the node to be in.
    :param refutation: refutation number, which rises each time the node refutes a
        report that it is suspect or dead.
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
        """Return whether this record is newer than another of the same instance."""
        if self.incarnation.number != other.incarnation.number:
            return self.incarnation.number > other.incarnation.number
        if MemberState.LEFT in (self.state, other.state):
            return self.state > other.state
        return (self.refutation, self.state) > (other.refutation, other.state)


class _GossipItem:
    def __init__(self, member: Member) -> None:
        self.member = member
        self.sent_count = 0


class Membership:
    """The members that one node knows.

    :param own: member record of this node.
    :param clock: clock for the timeouts of the failure detector.
    """

    def __init__(self, own: Member, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._members: dict[str, Member] = {own.name: own}
        self._record_changed_at: dict[str, float] = {own.name: clock.monotonic()}
        self._heartbeat_at: dict[str, float] = {}
        self._gossip_items: dict[str, _GossipItem] = {}
        self._last_check_at = clock.monotonic()
        self._superseded: set[str] = set()
        self._contacts: dict[str, Member] = {}

    @property
    def superseded(self) -> set[str]:
        """Incarnations that were replaced by a later one of the same instance."""
        return set(self._superseded)

    @property
    def own(self) -> Member:
        """Member record of this node."""
        return self._own

    @property
    def members(self) -> list[Member]:
        """All known members, including dead ones, sorted by name."""
        return sorted(self._members.values())

    @property
    def live(self) -> list[Member]:
        """Members that are alive or suspect, sorted by name."""
        return [m for m in self.members if m.state <= MemberState.SUSPECT]

    def find(self, name: str) -> Member | None:
        """Return the member with an instance name, or None if it is not known."""
        return self._members.get(name)

    def is_live(self, incarnation: str) -> bool:
        """Return whether an incarnation is alive or suspect."""
        member = self._members.get(incarnation.rpartition(".")[0])
        return (
            member is not None
            and str(member.incarnation) == incarnation
            and member.state <= MemberState.SUSPECT
        )

    def record_heartbeat(self, name: str) -> None:
        """Record a heartbeat that was received from a member itself.

        A suspect member becomes alive.

        :param name: instance name of the member.
        """
        self._heartbeat_at[name] = self._clock.monotonic()
        member = self._members.get(name)
        if member is not None and member.state is MemberState.SUSPECT:
            self._set(member._replace(state=MemberState.ALIVE))

    def merge(self, members: Iterable[Member]) -> list[Member]:
        """Merge member records received from a peer.

        :param members: the records.
        :returns: the records that were newer than the known ones.
        """
        return [member for member in members if self._merge_member(member)]

    def detect_failures(self, watched: Iterable[str]) -> list[Member]:
        """Mark silent members suspect and old suspects dead; remove old dead members.

        If this node itself was paused, the silence of others proves nothing, so their
        timers start again.

        :param watched: instance names of the members with which this node exchanges
            heartbeats.
        :returns: members whose state changed.
        """
        now = self._clock.monotonic()
        paused = now - self._last_check_at > PAUSE_THRESHOLD_S
        self._last_check_at = now
        if paused:
            self._heartbeat_at = dict.fromkeys(self._heartbeat_at, now)
            return []
        changed = [self._suspect_if_silent(name, now) for name in watched]
        changed += [self._mark_dead_or_remove(member, now) for member in self.members]
        return [member for member in changed if member is not None]

    def leave(self) -> Member:
        """Mark this node as left, after it has drained."""
        self._own = self._own._replace(state=MemberState.LEFT)
        self._set(self._own)
        return self._own

    def next_gossip(self) -> list[Member]:
        """Return recent changes to send to a peer, least often sent first.

        Each change is returned :data:`GOSSIP_REPEATS` times.
        """
        items = sorted(self._gossip_items.items(), key=lambda item: item[1].sent_count)
        selected = items[:MAX_GOSSIP_MEMBERS]
        for name, item in selected:
            item.sent_count += 1
            if item.sent_count >= GOSSIP_REPEATS:
                del self._gossip_items[name]
        return [item.member for _, item in selected]

    def add_contacts(self, members: Iterable[Member]) -> None:
        """Add instances whose address is known but whose incarnation is not.

        :param members: instances from the settings or the platform's list; their
            incarnation number is 0, which stands for unknown.
        """
        for member in members:
            if member.name != self._own.name:
                self._contacts[member.name] = member
                self._merge_member(member)

    def probe_targets(self) -> list[Member]:
        """Return members to probe: dead ones, and contacts that are not members."""
        dead = [m for m in self.members if m.state is MemberState.DEAD]
        unknown = [m for n, m in self._contacts.items() if n not in self._members]
        return sorted(dead + unknown)

    def suspicion_of(self, name: str) -> list[Member]:
        """Return the record that a member has to refute if it is suspect or dead.

        :param name: instance name of the member.
        :returns: the record; an empty list if the member is not known or in another
            state.
        """
        member = self._members.get(name)
        if member is None or member.state not in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        ):
            return []
        return [member]

    def link_targets(self) -> list[Member]:
        """Return the members to which this node keeps a link.

        In its own data centre, these are the members at distances 1, 2, 4 and so on
        on a hash ring. In other data centres, it is one member each of at most
        :data:`MAX_REMOTE_LINKS` data centres.
        """
        local = ring_fingers(self._own, self._in_data_centre(self._own.data_centre))
        remote = [m for m in self.live if m.data_centre != self._own.data_centre]
        remote.sort(key=lambda m: _hash_rank(f"{self._own.name}/{m.name}"))
        remote_by_data_centre: dict[str, Member] = {}
        for member in remote:
            if (
                member.data_centre not in remote_by_data_centre
                and len(remote_by_data_centre) < MAX_REMOTE_LINKS
            ):
                remote_by_data_centre[member.data_centre] = member
        return local + list(remote_by_data_centre.values())

    def watchers(self) -> list[Member]:
        """Return the members of this data centre that watch the platform."""
        local = self._in_data_centre(self._own.data_centre)
        local.sort(key=lambda m: (m.state, _hash_rank(f"watch/{m.name}")))
        return local[:WATCHERS_PER_DATA_CENTRE]

    def is_watcher(self) -> bool:
        """Return whether this node watches the platform."""
        return any(member.name == self._own.name for member in self.watchers())

    def _in_data_centre(self, data_centre: str) -> list[Member]:
        return [m for m in self.live if m.data_centre == data_centre]

    def _merge_member(self, member: Member) -> bool:
        if member.name == self._own.name:
            return self._merge_own(member)
        known = self._members.get(member.name)
        if known is not None and not member.supersedes(known):
            return False
        if known is None and member.state >= MemberState.DEAD:
            return False
        if known is None or known.incarnation != member.incarnation:
            self._heartbeat_at.pop(member.name, None)
            if known is not None and known.incarnation.number:
                self._superseded.add(str(known.incarnation))
        self._set(member)
        return True

    def _merge_own(self, member: Member) -> bool:
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
        self._record_changed_at[member.name] = self._clock.monotonic()
        self._gossip_items[member.name] = _GossipItem(member)

    def _suspect_if_silent(self, name: str, now: float) -> Member | None:
        member = self._members.get(name)
        if member is None or member.state is not MemberState.ALIVE:
            return None
        heartbeat_at = self._heartbeat_at.setdefault(name, now)
        if now - heartbeat_at < SUSPECT_AFTER_S:
            return None
        suspected = member._replace(state=MemberState.SUSPECT)
        self._set(suspected)
        return suspected

    def _mark_dead_or_remove(self, member: Member, now: float) -> Member | None:
        age_s = now - self._record_changed_at[member.name]
        if member.state is MemberState.SUSPECT and age_s >= DEAD_AFTER_S:
            dead = member._replace(state=MemberState.DEAD)
            self._set(dead)
            return dead
        if member.state >= MemberState.DEAD and age_s >= FORGET_AFTER_S:
            del self._members[member.name]
            del self._record_changed_at[member.name]
        return None


def ring_fingers(own: Member, members: Iterable[Member]) -> list[Member]:
    """Return the members at distances 1, 2, 4 and so on after a member on a hash ring.

    :param own: member from which the distances are counted.
    :param members: all members of the ring.
    :returns: the members found; an empty list if ``own`` is not one of ``members``.
    """
    ring = sorted(members, key=lambda m: _hash_rank(m.name))
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


def _hash_rank(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
