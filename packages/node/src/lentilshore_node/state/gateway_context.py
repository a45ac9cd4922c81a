"""Context of a gateway: the components that its requests share, and its bounds."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.logs import RequestSampler, log_event
from lentilshore_kernel.metrics import record_state_change
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.types import Address, StateChange
from lentilshore_routing.crash_blame import CrashBlame
from lentilshore_routing.crash_causes import Cause
from lentilshore_routing.crash_news import CauseNews
from lentilshore_routing.escalation_record import EscalationRecord
from lentilshore_routing.first_event_times import FirstEventTimes
from lentilshore_routing.placement import Placement
from lentilshore_routing.replica_limits import ReplicaLimits
from lentilshore_routing.replica_room import ReplicaRoom
from lentilshore_routing.retries import RetryPolicy
from lentilshore_routing.shortage import ShortageControl, ShortageEvent
from lentilshore_routing.version_choice import VersionChooser
from lentilshore_routing.version_evidence import LatencyBaseline, VersionEvidence
from lentilshore_routing.work_model import WorkModel

from ..clients.forwarding import Translator
from ..clients.http_client import HttpClient
from .change_log import ChangeLog
from .cold_replicas import ColdBounds
from .cut_times import CutTimes
from .fleet_view import FleetView
from .room_queue import RoomQueue
from .service_reach import ServiceReach
from .serving_peers import ServingPeers
from .store_access import StoreAccess

# Subtracted from the time within which a withdrawn key must be refused, because a
# request takes some of that time to reach its replica and clocks are imprecise.
KEY_WITHDRAWAL_MARGIN_S = 0.4
# A caller's body must be received within this time.
CALLER_BODY_TIMEOUT_S = 10.0
# Age of the last confirmed configuration at which this node stops being ready. By then
# two reads have failed; the balancer needs about two more seconds to notice.
READY_MAX_CONFIG_AGE_S = 2.5
# A replica that has sent an answer without an identifier on a used connection is called
# on fresh connections for this time, on which no answer can be mistaken.
FRESH_CONNECTIONS_S = 10.0
# The balancer probes every second and removes a node after two failed probes.
BALANCER_REMOVAL_S = 2.6
# A stopping node refuses requests that come later after the signal, since it may not be
# able to complete them.
LAST_REQUEST_S = 2.8


# Beginning of the paths of other gateways' calls, on the port that serves metrics.
PEER_PATHS = "/relay/"
# Path of the calls in which this gateway serves requests in place of others.
FORWARD_PATH = PEER_PATHS + "requests"
# Bounds of the body of such a call: its size and the time in which it is received.
PEER_BODY_LIMIT_BYTES = 32_768
PEER_BODY_TIMEOUT_S = 2.0
# Parts of the store that are listed and watched.
REPLICAS_PART = "replicas"
ROLLOUTS_PART = "rollouts"
CLOSURES_PART = "closures"
# Changes that the shortage control reports, as they are logged.
SHORTAGE_CHANGES = {
    ShortageEvent.BEGAN: StateChange.SERVICE_SHORT,
    ShortageEvent.ENDED: StateChange.SERVICE_SHORTAGE_ENDED,
    ShortageEvent.CUSTOMER_LIMITED: StateChange.CUSTOMER_LIMITED,
    ShortageEvent.CUSTOMER_LIMIT_ENDED: StateChange.CUSTOMER_LIMIT_ENDED,
}


class GatewayBounds(NamedTuple):
    """Bounds that a deployment sets.

    :param key_withdrawal_s: time after which a withdrawn key must be refused, seconds.
    :param config_apply_s: time after which a new configuration must be in force,
        seconds.
    :param replica_drain_s: time after which a draining replica must get no more
        requests, seconds.
    :param session_timeout_s: idle time that ends a session, seconds.
    :param grace_s: longest time from a signal to stop until the process ends, seconds.
    :param retry_ratio: retries allowed per request, over the whole fleet.
    :param extra_retries: retries allowed in addition in each window, over the whole
        fleet.
    :param retry_window_s: length of the window in which requests and retries are
        counted, seconds.
    :param exposure_share: largest share of the requests during a roll-out that a bad
        version may get.
    :param evacuation_s: time after which replicas of a data centre that the operator
        closes must get no more requests, seconds; None if none is ever closed.
    :param cold_over: requests that a cold replica may get in any second, as a multiple
        of those that it takes; None if that is not bounded.
    :param cold_slack: requests that it may get in addition; None likewise.
    """

    key_withdrawal_s: float
    config_apply_s: float
    replica_drain_s: float
    session_timeout_s: float
    grace_s: float
    retry_ratio: float
    extra_retries: float
    retry_window_s: float
    exposure_share: float
    evacuation_s: float | None = None
    cold_over: float | None = None
    cold_slack: float | None = None

    @property
    def cold(self) -> ColdBounds | None:
        """Bound of the requests to cold replicas, None if they are not bounded."""
        if self.cold_over is None or self.cold_slack is None:
            return None
        return ColdBounds(self.cold_over, self.cold_slack)

    @property
    def key_max_config_age_s(self) -> float:
        """Age up to which a configuration may be used to accept a key, seconds."""
        return self.key_withdrawal_s - KEY_WITHDRAWAL_MARGIN_S


@dataclass
class GatewayContext:
    """Components and state of one gateway.

    :param node_name: name of this instance.
    :param limits: limits that replicas name, which ``placement`` keeps to.
    :param replica_room: replicas that bear few rejections, of which ``placement`` asks.
    :param blame: counts the crashes of replicas for each cause that requests bear.
    :param version_chooser: chooses the version that serves each request.
    :param log_sampler: selects the requests whose routine lines are logged.
    """

    node_name: str
    data_centre: str
    bounds: GatewayBounds
    clock: Clock
    random: random.Random
    metrics: ServedMetrics
    view: FleetView
    placement: Placement
    limits: ReplicaLimits
    replica_room: ReplicaRoom
    blame: CrashBlame
    retries: RetryPolicy
    version_chooser: VersionChooser
    translator: Translator
    http: HttpClient
    log_sampler: RequestSampler
    evidence: VersionEvidence = field(default_factory=VersionEvidence)
    typical_latencies: LatencyBaseline = field(default_factory=LatencyBaseline)
    first_event_times: FirstEventTimes = field(default_factory=FirstEventTimes)
    work_model: WorkModel = field(default_factory=WorkModel)
    change_logs: dict[str, ChangeLog] = field(init=False)
    shortage: ShortageControl = field(init=False)
    escalations: EscalationRecord = field(init=False)
    room: RoomQueue = field(init=False)
    store_access: StoreAccess = field(init=False)
    reach: ServiceReach = field(init=False)
    serving_peers: ServingPeers = field(init=False)
    cut_times: CutTimes = field(init=False)
    # When the node was told to stop, on its clock, seconds; infinite before.
    stopping_since: float = math.inf
    # Set when the time to complete requests is over.
    grace_over: anyio.Event = field(default_factory=anyio.Event)
    in_flight: int = 0
    # Requests that this gateway serves in place of others.
    forwarded_in_flight: int = 0
    # Gateways of which others say that they are silent.
    silence_hints: set[str] = field(default_factory=set)
    _fresh_connections_until: dict[Address, float] = field(default_factory=dict)
    _logged_blame: dict[str, Cause] = field(default_factory=dict)
    _blame_changed: anyio.Event = field(default_factory=anyio.Event)
    _room_changed: anyio.Event = field(default_factory=anyio.Event)

    def __post_init__(self) -> None:
        self.shortage = ShortageControl(
            self.clock,
            self.random,
            lambda service: (
                self.placement.mean_places(service) / self.serving_peers.gateway_count
            ),
        )
        self.room = RoomQueue(self.clock, self.shortage)
        self.escalations = EscalationRecord(self.clock)
        self.cut_times = CutTimes(self.clock, self.placement)
        self.store_access = StoreAccess(self.clock, self.random)
        self.reach = ServiceReach(self.clock, self.view, self.metrics)
        self.serving_peers = ServingPeers(
            self.clock, self.random, self.reach, self.replica_room, self.placement
        )
        self.change_logs = {
            part: ChangeLog(self.clock)
            for part in (REPLICAS_PART, ROLLOUTS_PART, CLOSURES_PART)
        }
        self.view.require_closures(self.bounds.evacuation_s is not None)

    @property
    def draining(self) -> bool:
        """Whether the node was told to stop."""
        return self.stopping_since < math.inf

    @property
    def accepts_requests(self) -> bool:
        """Whether a request that comes now can be completed before the node stops."""
        return self.clock.monotonic() < self.stopping_since + LAST_REQUEST_S

    def begin_to_stop(self) -> None:
        """Record that the node was told to stop."""
        self.stopping_since = min(self.stopping_since, self.clock.monotonic())

    @property
    def ready(self) -> bool:
        """Whether a balancer should send requests here."""
        return self.view.complete and not self.closes_connections

    @property
    def closes_connections(self) -> bool:
        """Whether connections are closed after an answer.

        Callers then send their next request to another node.
        """
        if self.draining:
            return True
        return self.view.confirmed_age_s >= min(
            READY_MAX_CONFIG_AGE_S, self.bounds.key_max_config_age_s
        )

    def require_fresh_connections(self, address: Address) -> None:
        """Send no request on a used connection to an address for a while."""
        now = self.clock.monotonic()
        self._fresh_connections_until = {
            known: until
            for known, until in self._fresh_connections_until.items()
            if until > now
        }
        self._fresh_connections_until[address] = now + FRESH_CONNECTIONS_S

    def may_reuse_connections(self, address: Address) -> bool:
        """Return whether requests may go out on used connections to an address."""
        until = self._fresh_connections_until.get(address, 0.0)
        return until <= self.clock.monotonic()

    def record_limit(
        self, replica: str, limit_per_s: float | None, sent_at: float
    ) -> None:
        """Record what an answer of a replica says of its limit.

        :param limit_per_s: requests a second; None if it names no limit, not a number
            if the limit can't be read.
        :param sent_at: time at which the request was sent, on the node's clock,
            seconds.
        """
        if limit_per_s is not None and math.isnan(limit_per_s):
            self.metrics.count("limit.unreadable")
            log_event("limit_unreadable", replica=replica)
            return
        if self.limits.observe(replica, limit_per_s, sent_at):
            self.log_limit(replica, "answer")

    def record_room(
        self, replica: str, rejections_per_s: float | None, sent_at: float
    ) -> None:
        """Record what an answer of a replica says of the rejections that it bears.

        :param rejections_per_s: rejections a second; None if it states none, not a
            number if that can't be read, which counts as none that it bears.
        :param sent_at: time at which the request was sent, on the node's clock,
            seconds.
        """
        if rejections_per_s is not None and math.isnan(rejections_per_s):
            self.metrics.count("room.unreadable")
            log_event("room_unreadable", replica=replica)
            rejections_per_s = 0.0
        if self.replica_room.observe(replica, rejections_per_s, sent_at):
            self.log_room([replica], "answer")

    def log_room(self, replicas: Iterable[str], source: str) -> None:
        """Log that replicas have begun or ceased to bear few rejections.

        Wakes those that wait for a change.

        :param source: whether an answer or a peer told of the change.
        """
        told = {news.replica: news for news in self.replica_room.tell()}
        for replica in replicas:
            news = told.get(replica)
            if news is None or news.rejections_per_s < 0:
                change = StateChange.REPLICA_SCARCITY_ENDED
                record_state_change(
                    self.metrics, change, replica=replica, source=source
                )
                continue
            record_state_change(
                self.metrics,
                StateChange.REPLICA_SCARCE,
                replica=replica,
                source=source,
                rejections_per_s=f"{news.rejections_per_s:g}",
                dispatcher=self.replica_room.dispatcher(replica) or "-",
            )
        self._room_changed.set()

    def log_shortage(self) -> None:
        """Log which services have begun or ceased to lack capacity, and limits."""
        for event, service, customer, rate in self.shortage.take_changes():
            record_state_change(
                self.metrics,
                SHORTAGE_CHANGES[event],
                service=service,
                customer=customer or "-",
                work_per_s=f"{rate:.4g}" if rate else "-",
            )

    async def wait_for_room_news(self) -> None:
        """Wait until something has changed in what replicas say of their room."""
        self._room_changed = anyio.Event()
        await self._room_changed.wait()

    def record_pause(self, replica: str, pause_s: float) -> None:
        """Record that a replica wants nothing from this gateway for some time.

        :param pause_s: seconds from now; not a number if the time can't be read.
        """
        if math.isnan(pause_s):
            self.metrics.count("pause.unreadable")
            log_event("pause_unreadable", replica=replica)
            return
        if self.placement.pause(replica, pause_s):
            record_state_change(
                self.metrics,
                StateChange.REPLICA_PAUSED,
                replica=replica,
                pause_s=f"{pause_s:g}",
            )

    def log_limit(self, replica: str, source: str) -> None:
        """Log that the limit of a replica has changed.

        :param source: whether an answer or a peer told of the change.
        """
        limit_per_s = self.limits.limit_per_s(replica)
        if limit_per_s is None:
            change = StateChange.REPLICA_LIMIT_ENDED
            record_state_change(self.metrics, change, replica=replica, source=source)
            return
        record_state_change(
            self.metrics,
            StateChange.REPLICA_LIMITED,
            replica=replica,
            source=source,
            limit_per_s=f"{limit_per_s:g}",
            own_per_s=f"{self.limits.own_rate(replica):.3g}",
        )

    def record_crash(
        self,
        causes: Sequence[Cause],
        replica: str,
        sent_at: float,
        ended_at: float | None = None,
    ) -> None:
        """Record that a replica ended as it began the answer to a request.

        :param causes: causes that the request bears.
        :param replica: name of the replica's process.
        :param sent_at: time at which the request was sent to it, on the node's clock,
            seconds.
        :param ended_at: time at which it ended, on the same clock; now if None.
        """
        self.blame.record_crash(causes, replica, sent_at, ended_at)
        self.log_blame("crash")

    def record_answer(self, causes: Sequence[Cause], request_id: str) -> None:
        """Record an answer that is whole, or a stream past its beginning.

        :param causes: causes that the request bears.
        """
        known = self.blame.generation
        self.blame.record_answer(causes, request_id)
        if self.blame.generation != known:
            self.log_blame("answer")

    def learn_crashes(
        self, news: Iterable[CauseNews], asked_at: float, source: str
    ) -> None:
        """Accept what another gateway knows of crashes.

        :param asked_at: time from which the ages in the news count, on the node's
            clock, seconds.
        :param source: name of the other gateway.
        """
        unsound_count = self.blame.unsound_count
        self.blame.learn(news, asked_at)
        if self.blame.unsound_count != unsound_count:
            self.metrics.count("relay.blame_unsound")
            log_event("blame_unsound", peer=source)
        self.log_blame(source)

    def log_blame(self, source: str) -> None:
        """Log which causes are blamed, and which no longer, since last time.

        Wakes those that wait for a change.

        :param source: what told of the change: a crash, an answer, a peer or time.
        """
        logged = self._logged_blame
        blamed = {cause.digest: cause for cause in self.blame.blamed_causes}
        new = [cause for digest, cause in blamed.items() if digest not in logged]
        told = {item.cause: item for item in self.blame.tell()} if new else {}
        for cause in new:
            item = told.get(cause.digest)
            self._log_blame_change(
                cause,
                StateChange.PROMPT_PART_BLAMED,
                StateChange.REQUEST_BLAMED,
                source=source,
                crashes=len(item.crashes) if item else "-",
                answers=len(item.answers) if item else "-",
                answered_before=item.answered_before if item else "-",
            )
        for digest, cause in logged.items():
            if digest not in blamed:
                self._log_blame_change(
                    cause,
                    StateChange.PROMPT_PART_CLEARED,
                    StateChange.REQUEST_CLEARED,
                    source=source,
                )
        self._logged_blame = blamed
        self._blame_changed.set()

    def _log_blame_change(
        self,
        cause: Cause,
        of_part: StateChange,
        of_request: StateChange,
        **fields: object,
    ) -> None:
        if cause.is_whole_request:
            record_state_change(self.metrics, of_request, digest=cause.digest, **fields)
            return
        record_state_change(self.metrics, of_part, part=cause.digest, **fields)

    async def wait_for_blame(self, generation: int) -> None:
        """Wait until blame has changed since a generation of it."""
        while self.blame.generation == generation:
            self._blame_changed = anyio.Event()
            await self._blame_changed.wait()

    def update_bounds(self, bounds: GatewayBounds) -> None:
        """Replace the bounds."""
        self.bounds = bounds
        self.view.require_closures(bounds.evacuation_s is not None)
