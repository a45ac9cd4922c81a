"""Choice of the replica that a request is sent to."""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.types import Priority

from .replica_backlog import OwnWork, ReplicaBacklogs
from .replica_limits import ReplicaLimits
from .replica_pauses import ReplicaPauses
from .replica_room import ReplicaRoom
from .replica_scorer import (
    REMOTE_WORK_SHARE,
    ReplicaScorer,
    ScoredRequest,
    WorkScorer,
    work_at,
)
from .replicas import Replica, ReplicaGroup, choose_subset
from .work_model import RequestWork

# Candidate replicas for a request: the first on the hash ring, for prefix cache hits,
# and random ones, for load balancing.
AFFINITY_CANDIDATES = 3
RANDOM_CANDIDATES = 2
PREFIXES_PER_REPLICA_LIMIT = 64
# Older load reports are ignored.
LOAD_REPORT_AGE_LIMIT_S = 5.0
WORK_CHANGES_PER_REPLICA_LIMIT = 256
# Outlier ejection: a replica gets no requests for a while after this many consecutive
# failures, unless too large a share of the replicas would be ejected.
EJECTION_CONSECUTIVE_FAILURES = 5
EJECTION_S = 10.0
EJECTED_SHARE_LIMIT = 0.3
# An unreachable replica is ejected for this time.
UNREACHABLE_EJECTION_S = 2.0
# Extra load assumed for each batch request that this node has in flight at a replica,
# when it places another batch request.
TOKENS_PER_BATCH_REQUEST = 256.0


# Places of each replica that a node's even share must have for its own requests to tell
# how full the replicas are. At 0.79 places, 81 gateways before 30 replicas served their
# load no better when they routed it by expected work; at 0.39, 62 gateways did.
OWN_VIEW_PLACES = 0.5


class LoadReport(NamedTuple):
    """Load that a replica has reported.

    :param work_tokens: tokens of prompts and answers still to be processed.
    :param made_at: time of the report on the node's clock, seconds; negative if there
        is none.
    """

    work_tokens: float
    made_at: float


class _ReplicaState:
    """What a node knows of a replica beyond its entry in the instance list."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.batch_in_flight = 0
        self.local_work_tokens = 0.0
        self.load_report = LoadReport(0.0, -1.0)
        # Time and tokens of the work that this node has added or removed lately.
        self.work_changes: deque[tuple[float, float]] = deque(
            maxlen=WORK_CHANGES_PER_REPLICA_LIMIT
        )
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.last_answered_at = -math.inf
        # When the first of the requests in flight was sent to it.
        self.busy_since = -math.inf
        self.cached_prefixes: OrderedDict[str, None] = OrderedDict()

    def waits_since(self, time: float) -> bool:
        """Return whether requests have waited since a time without any answer."""
        last_active_at = max(self.last_answered_at, self.busy_since)
        return self.in_flight > 0 and last_active_at <= time


class ReplicaLease(NamedTuple):
    """Capacity of a replica taken for one attempt, until :meth:`Placement.release`.

    :param replica: the replica.
    :param work_tokens: tokens of work that were added to its load.
    :param batch: whether the request has batch priority.
    :param taken_at: time at which it was taken on the node's clock, seconds.
    :param load_tokens: estimated load of the replica before this work, tokens.
    :param report_age_s: age of the load report behind that estimate, seconds; None if
        it was made from this node's own work.
    :param cached: whether the replica is expected to have the prompt's prefix cached.
    :param own_work: the request among those in flight, where it is routed by work.
    """

    replica: Replica
    work_tokens: float
    batch: bool
    taken_at: float
    load_tokens: float = 0.0
    report_age_s: float | None = None
    cached: bool = False
    own_work: OwnWork | None = None


class LoadScorer:
    """Scores replicas by the tokens of work that they are estimated to have.

    :param clock: measures the age of load reports.
    :param find_state: returns what the node knows of a replica.
    :param data_centre: data centre of this node; empty for no preference.
    """

    def __init__(
        self,
        clock: Clock,
        find_state: Callable[[str], _ReplicaState],
        data_centre: str,
    ) -> None:
        self._clock = clock
        self._find_state = find_state
        self._data_centre = data_centre
        # Number of nodes that send the replicas requests.
        self.node_count = 1

    def score(self, replica: Replica, request: ScoredRequest, cached: bool) -> float:
        """Return the load of a replica for a request, in tokens."""
        state = self._find_state(replica.name)
        load = self.estimated_load(state)
        if request.prefix and not cached:
            load += request.work_tokens
        if request.priority is Priority.BATCH:
            load += state.batch_in_flight * TOKENS_PER_BATCH_REQUEST
        if self._data_centre not in ("", replica.data_centre):
            load += request.work_tokens * REMOTE_WORK_SHARE
        return load

    def estimated_load(self, state: _ReplicaState) -> float:
        """Return the estimated load of a replica, in tokens.

        A load report lags, so the work that this node has started and finished since
        is added to it, multiplied by the number of nodes. Without a recent report, the
        estimate is this node's own work multiplied by the number of nodes.
        """
        age_s = self._clock.monotonic() - state.load_report.made_at
        if state.load_report.made_at < 0 or age_s > LOAD_REPORT_AGE_LIMIT_S:
            return state.local_work_tokens * self.node_count
        change = sum(tokens for _, tokens in state.work_changes)
        estimate = state.load_report.work_tokens + change * self.node_count
        return max(state.local_work_tokens, estimate)


class Placement:
    """Chooses replicas by weighing prefix affinity against load.

    :param node: name of this instance, for deterministic subsetting.
    :param clock: measures the age of reports and ejections.
    :param random_source: source of random choices.
    :param data_centre: data centre of this node, whose replicas are preferred; empty
        for no preference.
    :param limits: limits that replicas name; None where no replica names any.
    :param replica_room: replicas that bear few rejections; None where none says so.
    """

    def __init__(
        self,
        node: str,
        clock: Clock,
        random_source: random.Random,
        data_centre: str = "",
        limits: ReplicaLimits | None = None,
        replica_room: ReplicaRoom | None = None,
    ) -> None:
        self._replica_room = replica_room or ReplicaRoom(node, clock)
        self._limits = limits or ReplicaLimits(node, clock, random_source)
        self._pauses = ReplicaPauses(clock, random_source)
        self._backlogs = ReplicaBacklogs(clock, random_source)
        self._load_scorer = LoadScorer(clock, lambda n: self._states[n], data_centre)
        self._work_scorer = WorkScorer(self._backlogs, random_source, data_centre)
        self._node = node
        self._clock = clock
        self._random = random_source
        self._states: dict[str, _ReplicaState] = {}
        self._groups: dict[str, ReplicaGroup] = {}
        self._listed: Sequence[Replica] = ()
        self._nodes: Sequence[str] = ()
        # Closed data centres, and the replicas and services that are listed there.
        self._closed: frozenset[str] = frozenset()
        self._closed_names: set[str] = set()
        self._closed_services: set[str] = set()

    @property
    def groups(self) -> list[str]:
        """Versions and services that have at least one replica."""
        return sorted(self._groups)

    @property
    def backlogs(self) -> ReplicaBacklogs:
        """Speeds and backlogs of the replicas, where requests are routed by work."""
        return self._backlogs

    @property
    def groups_by_work(self) -> set[str]:
        """Versions and services to which :meth:`routes_by_work` applies."""
        return {name for name in self._groups if self.routes_by_work(name)}

    def routes_by_work(self, group: str) -> bool:
        """Return whether own requests don't indicate how full replicas of a group are.

        That is so if this node's even share of each replica is less than
        :data:`OWN_VIEW_PLACES`.

        :param group: version or service.
        """
        replica_group = self._groups.get(group)
        if replica_group is None:
            return False
        enough_places = OWN_VIEW_PLACES * self._limits.node_count
        return 0 < replica_group.max_places < enough_places

    def replicas(self, kind: str) -> list[Replica]:
        """Return the replicas of a kind that this node uses, sorted by name."""
        used = {
            replica
            for group in self._groups.values()
            for replica in group.subset
            if replica.kind == kind
        }
        return sorted(used)

    def update(self, replicas: Iterable[Replica], nodes: Sequence[str] = ()) -> None:
        """Replace the list of replicas.

        :param replicas: all replicas, including draining ones.
        :param nodes: names of the live nodes, among which replicas are divided.
        """
        self._listed, self._nodes = list(replicas), nodes
        active = [replica for replica in self._listed if not replica.draining]
        names = {replica.name for replica in active}
        closed = [r for r in active if r.data_centre in self._closed]
        self._closed_names = {replica.name for replica in closed}
        self._closed_services = {
            group.partition("@")[0] for replica in closed for group in replica.groups
        }
        candidates = [r for r in active if r.name not in self._closed_names]
        # The others still serve requests that they were sent before.
        serving = {n: s for n, s in self._states.items() if n in names or s.in_flight}
        new = {name: _ReplicaState() for name in names - serving.keys()}
        self._states = serving | new
        self._limits.set_replicas(names)
        self._backlogs.set_replicas(names)
        self._replica_room.set_replicas(candidates)
        groups: dict[str, list[Replica]] = {}
        for replica in sorted(candidates):
            for group in replica.groups:
                groups.setdefault(group, []).append(replica)
        node_names = sorted({*nodes, self._node})
        self._load_scorer.node_count = len(node_names)
        self._groups = {
            name: self._updated_group(name, node_names, group_replicas)
            for name, group_replicas in groups.items()
        }

    def set_closed(self, data_centres: Collection[str]) -> None:
        """Replace the closed data centres, whose replicas are not candidates.

        What is known of these replicas is kept: requests may still run there.
        """
        closed = frozenset(data_centres)
        if closed != self._closed:
            self._closed = closed
            self.update(self._listed, self._nodes)

    def is_closed(self, group: str) -> bool:
        """Return whether only replicas in closed data centres could serve a group.

        :param group: version or service.
        """
        service = group.partition("@")[0]
        return group not in self._groups and service in self._closed_services

    def choose(
        self,
        group: str,
        work_tokens: float,
        prefix: str = "",
        priority: Priority = Priority.NORMAL,
        excluded: Sequence[str] = (),
        work: RequestWork | None = None,
    ) -> ReplicaLease | None:
        """Choose a replica and add the work to its load.

        :param group: version or service.
        :param work_tokens: expected tokens of prompt and answer.
        :param prefix: hash of the prompt's shared prefix, empty for none.
        :param priority: batch requests are spread so as to leave room for others.
        :param excluded: names of replicas that must not be chosen.
        :param work: expected work, for :meth:`routes_by_work`; None if not estimated.
        :returns: None if there is no replica to choose.
        """
        replica_group = self._groups.get(group)
        if replica_group is None:
            return None
        by_work = work is not None and self.routes_by_work(group)
        scorer: ReplicaScorer = self._work_scorer if by_work else self._load_scorer
        find_candidates = self._work_candidates if by_work else self._candidates
        candidates = find_candidates(replica_group, prefix, excluded)
        if not candidates:
            return None
        batch = priority is Priority.BATCH
        request = ScoredRequest(work_tokens, prefix, priority, work)
        home = self._home_replica(replica_group, prefix, excluded)
        replica = min(
            candidates,
            key=lambda item: scorer.score(
                item, request, self._expects_prefix(item.name, prefix, home)
            ),
        )
        state = self._states[replica.name]
        now = self._clock.monotonic()
        load_tokens = self._load_scorer.estimated_load(state)
        report_age_s = now - state.load_report.made_at
        fresh = (
            state.load_report.made_at >= 0 and report_age_s <= LOAD_REPORT_AGE_LIMIT_S
        )
        cached = bool(prefix) and prefix in state.cached_prefixes
        own_work = None
        if by_work:
            cached = self._expects_prefix(replica.name, prefix, home)
            own_work = self._backlogs.begin(
                replica.name, work_at(work, cached), replica.places
            )
        self._limits.take(replica.name)
        if not state.in_flight:
            state.busy_since = now
        state.in_flight += 1
        state.batch_in_flight += batch
        state.local_work_tokens += work_tokens
        state.work_changes.append((now, work_tokens))
        if prefix:
            self.add_prefix(replica.name, prefix)
        return ReplicaLease(
            replica,
            work_tokens,
            batch,
            now,
            load_tokens,
            report_age_s if fresh else None,
            cached,
            own_work,
        )

    def choose_untried_first(
        self,
        group: str,
        work_tokens: float,
        prefix: str = "",
        priority: Priority = Priority.NORMAL,
        tried: Sequence[str] = (),
        work: RequestWork | None = None,
    ) -> ReplicaLease | None:
        """Choose a replica not tried yet or, if there is none, one already tried.

        The other parameters are those of :meth:`choose`.

        :param tried: names of the replicas at which the request has failed.
        """
        lease = self.choose(group, work_tokens, prefix, priority, tried, work)
        if lease is None and tried:
            lease = self.choose(group, work_tokens, prefix, priority, work=work)
        return lease

    def mean_places(self, service: str) -> float:
        """Return the mean number of places of a service's replicas.

        :returns: infinite if no replica states how many it has.
        """
        replicas = {
            replica
            for name, group in self._groups.items()
            if name.partition("@")[0] == service
            for replica in group.replicas
        }
        places = [replica.places for replica in replicas if replica.places > 0]
        return sum(places) / len(places) if places else math.inf

    def has_capacity(self, group: str) -> bool:
        """Return whether a replica of a group may be sent a request now."""
        return self.sendable_count(group) > 0

    def sendable_count(self, group: str, excluded: Sequence[str] = ()) -> int:
        """Return how many replicas of a group may be sent a request now.

        :param excluded: names of replicas that don't count.
        """
        replica_group = self._groups.get(group)
        if replica_group is None:
            return 0
        names = (r.name for r in replica_group.replicas if r.name not in excluded)
        return sum(self._may_send(name) for name in names)

    def pause(self, name: str, duration_s: float) -> bool:
        """Send a replica nothing for some time, see :meth:`ReplicaPauses.pause`."""
        return self._pauses.pause(name, duration_s)

    def paused(self, name: str) -> bool:
        """Return whether a replica wants nothing from this node now."""
        return self._pauses.paused(name)

    def pause_retry_after_s(self, group: str) -> float | None:
        """Return when a caller may come back because replicas are paused.

        :param group: version or service.
        :returns: seconds; None if no replica of the group is paused.
        """
        replica_group = self._groups.get(group)
        replicas = replica_group.replicas if replica_group else ()
        paused = [r.name for r in replicas if self._pauses.paused(r.name)]
        return self._pauses.retry_after_s(paused) if paused else None

    def is_scarce(self, group: str) -> bool:
        """Return whether replicas of a group bear few rejections."""
        return self._replica_room.is_scarce(group.partition("@")[0])

    def has_place(self, service: str) -> bool:
        """Return whether a replica that bears few rejections has a place for this node.

        :param service: service whose replicas bear few rejections.
        """
        names = self._replica_room.own_replicas(service)
        return any(name in self._states and self._may_send(name) for name in names)

    def has_usable(self, group: str, excluded: Sequence[str]) -> bool:
        """Return whether a replica of a group may be sent a request and is not ejected.

        :param excluded: names of replicas that don't count.
        """
        replica_group = self._groups.get(group)
        if replica_group is None:
            return False
        return any(self._usable(r, excluded) for r in replica_group.replicas)

    def limit_retry_after_s(self, group: str) -> float | None:
        """Return when a caller may come back because replicas are limited.

        :param group: version or service.
        :returns: seconds; None if no replica of the group has named a limit or is
            cold, those that are paused aside.
        """
        replica_group = self._groups.get(group)
        limited = replica_group.named(self._limits.restricted) if replica_group else []
        names = [r.name for r in limited if not self._pauses.paused(r.name)]
        return self._limits.retry_after_s(names) if names else None

    def release(
        self, lease: ReplicaLease, failed: bool, unreachable: bool = False
    ) -> bool:
        """Remove the work of a lease from the replica's load.

        :param lease: lease returned by :meth:`choose`.
        :param failed: whether the attempt failed at the replica.
        :param unreachable: whether the connection failed or the replica did not
            answer in time; it is ejected for :data:`UNREACHABLE_EJECTION_S` unless it
            has answered other requests meanwhile.
        :returns: whether the replica is ejected from now on.
        """
        if lease.own_work is not None:
            self._backlogs.end(lease.own_work)
        state = self._states.get(lease.replica.name)
        if state is None:
            return False
        now = self._clock.monotonic()
        state.in_flight = max(0, state.in_flight - 1)
        state.batch_in_flight = max(0, state.batch_in_flight - lease.batch)
        state.local_work_tokens = max(0.0, state.local_work_tokens - lease.work_tokens)
        state.work_changes.append((now, -lease.work_tokens))
        if unreachable:
            return self._eject_unreachable(state, lease, now)
        if not failed:
            state.consecutive_failures = 0
            return False
        state.consecutive_failures += 1
        if (
            state.consecutive_failures < EJECTION_CONSECUTIVE_FAILURES
            or not self._may_eject()
        ):
            return False
        state.ejected_until = now + EJECTION_S
        state.consecutive_failures = 0
        return True

    def eject_unreachable(self, lease: ReplicaLease) -> bool:
        """Eject a replica that has not answered a request in time.

        :param lease: lease of the request, which goes on.
        :returns: whether the replica is ejected from now on, and was not before.
        """
        state = self._states.get(lease.replica.name)
        if state is None:
            return False
        now = self._clock.monotonic()
        was_ejected = state.ejected_until > now
        return self._eject_unreachable(state, lease, now) and not was_ejected

    def _eject_unreachable(
        self, state: _ReplicaState, lease: ReplicaLease, now: float
    ) -> bool:
        if state.last_answered_at >= lease.taken_at:
            return False
        # A longer ejection for failures is not shortened.
        state.ejected_until = max(state.ejected_until, now + UNREACHABLE_EJECTION_S)
        return True

    def readmit(self, name: str) -> None:
        """End the ejection of a replica that was out of reach and has been reached."""
        state = self._states.get(name)
        if state is not None:
            state.ejected_until = 0.0

    def record_answer(self, name: str) -> None:
        """Record that a replica has just answered, in whole or in part."""
        state = self._states.get(name)
        if state is not None:
            state.last_answered_at = self._clock.monotonic()

    def answered_within(self, name: str, within_s: float) -> bool:
        """Return whether a replica has answered any request recently.

        :param name: name of the replica.
        :param within_s: how recently, seconds.
        """
        return self.answer_age_s(name) <= within_s

    def answer_age_s(self, name: str) -> float:
        """Return the time since a replica last answered any request, seconds.

        :param name: name of the replica.
        :returns: infinite if it never has.
        """
        state = self._states.get(name)
        if state is None:
            return math.inf
        return self._clock.monotonic() - state.last_answered_at

    def silent_replicas(self, group: str, silent_s: float) -> list[str]:
        """Return the replicas that have answered nothing though requests wait there.

        :param group: version or service.
        :param silent_s: for at least how long, seconds.
        """
        replica_group = self._groups.get(group)
        replicas = replica_group.replicas if replica_group else ()
        since = self._clock.monotonic() - silent_s
        return [r.name for r in replicas if self._states[r.name].waits_since(since)]

    def record_load_report(
        self, name: str, work_tokens: float, report_age_s: float
    ) -> None:
        """Record a load report of a replica, unless a newer one is known.

        :param name: name of the replica.
        :param work_tokens: tokens still to be processed when the report was made.
        :param report_age_s: age of the report, seconds.
        """
        state = self._states.get(name)
        if state is None:
            return
        made_at = self._clock.monotonic() - report_age_s
        if made_at <= state.load_report.made_at:
            return
        state.load_report = LoadReport(work_tokens, made_at)
        while state.work_changes and state.work_changes[0][0] < made_at:
            state.work_changes.popleft()

    def add_prefix(self, name: str, prefix: str) -> None:
        """Record that a replica has a prefix in its cache.

        :param name: name of the replica.
        :param prefix: hash of the prefix, see :func:`prefix_hash`.
        """
        state = self._states.get(name)
        if state is None:
            return
        state.cached_prefixes[prefix] = None
        state.cached_prefixes.move_to_end(prefix)
        if len(state.cached_prefixes) > PREFIXES_PER_REPLICA_LIMIT:
            state.cached_prefixes.popitem(last=False)

    def drop_prefix(self, name: str, prefix: str) -> None:
        """Record that a replica no longer has a prefix in its cache.

        :param name: name of the replica.
        :param prefix: hash of the prefix, see :func:`prefix_hash`.
        """
        state = self._states.get(name)
        if state is not None:
            state.cached_prefixes.pop(prefix, None)

    def in_flight(self, name: str) -> int:
        """Return the number of this node's requests in flight at a replica."""
        state = self._states.get(name)
        return state.in_flight if state else 0

    def ejected(self) -> list[str]:
        """Return the names of the replicas that are ejected now, sorted."""
        now = self._clock.monotonic()
        return sorted(n for n, s in self._states.items() if s.ejected_until > now)

    def _updated_group(
        self, name: str, node_names: Sequence[str], replicas: list[Replica]
    ) -> ReplicaGroup:
        previous = self._groups.get(name)
        subset = choose_subset(node_names, self._node, replicas)
        if previous is not None and previous.replicas == replicas:
            previous.subset = subset
            return previous
        return ReplicaGroup(replicas, subset)

    def _candidates(
        self, group: ReplicaGroup, prefix: str, excluded: Sequence[str]
    ) -> list[Replica]:
        affine = group.ring_successors(prefix, AFFINITY_CANDIDATES) if prefix else []
        random_count = (
            RANDOM_CANDIDATES if affine else AFFINITY_CANDIDATES + RANDOM_CANDIDATES
        )
        # Few nodes hold a part of a limit, so each takes every chance to use it: the
        # first of equally loaded candidates is chosen.
        candidates = group.named(self._limits.restricted) + affine
        sample_size = min(random_count, len(group.subset))
        candidates += self._random.sample(group.subset, sample_size)
        return self._usable_of(candidates, group, excluded)

    def _work_candidates(
        self, group: ReplicaGroup, prefix: str, excluded: Sequence[str]
    ) -> list[Replica]:
        """Return the candidates of a request that is routed by work.

        The random ones are of the whole group: subsets differ by the list of nodes,
        which is empty in gateways, so that all of them would share one subset. More
        of them gain nothing: what a node knows of a replica is seconds old, and fewer
        prompts would meet their cached prefix.
        """
        affine = group.ring_successors(prefix, AFFINITY_CANDIDATES) if prefix else []
        random_count = (
            RANDOM_CANDIDATES if affine else AFFINITY_CANDIDATES + RANDOM_CANDIDATES
        )
        candidates = group.named(self._limits.restricted) + affine
        sample_size = min(random_count, len(group.replicas))
        candidates += self._random.sample(group.replicas, sample_size)
        return self._usable_of(candidates, group, excluded)

    def _usable_of(
        self,
        candidates: Iterable[Replica],
        group: ReplicaGroup,
        excluded: Sequence[str],
    ) -> list[Replica]:
        """Return the usable candidates or, if there are none, others of the group."""
        usable = [item for item in candidates if self._usable(item, excluded)]
        usable = usable or [i for i in group.replicas if self._usable(i, excluded)]
        return usable or [
            item
            for item in group.replicas
            if item.name not in excluded and self._may_send(item.name)
        ]

    def _home_replica(
        self, group: ReplicaGroup, prefix: str, excluded: Sequence[str]
    ) -> str:
        """Return the name of the replica that all nodes prefer for a prefix, or "".

        It is likely to have the prefix cached, also if this node never sent it there.
        """
        if not prefix:
            return ""
        for replica in group.ring_successors(prefix, AFFINITY_CANDIDATES):
            if self._usable(replica, excluded):
                return replica.name
        return ""

    def _expects_prefix(self, name: str, prefix: str, home: str) -> bool:
        """Return whether a replica is expected to have a prefix cached."""
        return bool(prefix) and (
            name == home or prefix in self._states[name].cached_prefixes
        )

    def _usable(self, replica: Replica, excluded: Sequence[str]) -> bool:
        if replica.name in excluded or not self._may_send(replica.name):
            return False
        return self._states[replica.name].ejected_until <= self._clock.monotonic()

    def _may_send(self, name: str) -> bool:
        """Return whether a replica itself allows this node to send it a request now."""
        return (
            not self._pauses.paused(name)
            and self._limits.allows(name)
            and self._replica_room.allows(name, self.in_flight(name))
        )

    def _may_eject(self) -> bool:
        count = len(self._states.keys() - self._closed_names)
        ejected = [name for name in self.ejected() if name not in self._closed_names]
        limit = EJECTED_SHARE_LIMIT * count
        return len(ejected) + 1 <= max(1.0, limit) and count > 1
