"""Context of a gateway: what the parts of its request path share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.logs import RequestSampler
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_routing.model_choice import LoadPressure
from lentilshore_routing.placement import Placement
from lentilshore_routing.retries import RetryPolicy
from lentilshore_routing.version_choice import VersionChooser
from lentilshore_routing.version_evidence import LatencyBaseline, VersionEvidence

from .fleet_view import FleetView
from .forwarding import Translator
from .http_client import HttpClient

# Time from an answer's dispatch until the replica has it, and clocks' roughness,
# seconds.
KEY_PROOF_MARGIN_S = 0.4
# Time in which a caller's body must come, seconds.
CALLER_STALL_S = 10.0
# Age of that proof at which callers are sent to other nodes: two reads have failed,
# and the balancer takes two more seconds to see it, seconds.
READY_PROOF_S = 2.5
# The balancer asks every second and takes a node out after two misses, seconds.
BALANCER_NOTICE_S = 2.6


class GatewayTimes(NamedTuple):
    """Bounds that a deployment sets.

    :param key_withdrawal_s: time in which a withdrawn key must stop, seconds.
    :param apply_s: time in which a configuration must be in force, seconds.
    :param leaving_s: time in which a leaving replica must get no more work, seconds.
    :param session_s: pause that ends a session, seconds.
    :param grace_s: time that a stop may take, seconds.
    :param retry_ratio: retries allowed per request over the whole fleet.
    :param retry_extra: retries allowed besides, over the whole fleet.
    :param retry_window_s: time over which both are counted, seconds.
    :param exposure_share: part of the requests in a roll-out's time that a bad
        version may get.
    """

    key_withdrawal_s: float
    apply_s: float
    leaving_s: float
    session_s: float
    grace_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    exposure_share: float

    @property
    def key_proof_s(self) -> float:
        """Oldest proof that a key is still valid, seconds."""
        return self.key_withdrawal_s - KEY_PROOF_MARGIN_S


@dataclass
class GatewayContext:
    """Parts of one gateway."""

    node: str
    times: GatewayTimes
    clock: Clock
    random: random.Random
    metrics: ServedMetrics
    view: FleetView
    placement: Placement
    retries: RetryPolicy
    chooser: VersionChooser
    translator: Translator
    http: HttpClient
    sampler: RequestSampler
    evidence: VersionEvidence = field(default_factory=VersionEvidence)
    answer_times: LatencyBaseline = field(default_factory=LatencyBaseline)
    pressure: LoadPressure = field(default_factory=LoadPressure)
    draining: bool = False
    in_flight: int = 0

    @property
    def ready(self) -> bool:
        """Whether a balancer should send requests here."""
        return self.view.complete and not self.leaving

    @property
    def leaving(self) -> bool:
        """Whether callers should go to other nodes with their next request."""
        if self.draining:
            return True
        return self.view.confirmed_age_s >= min(READY_PROOF_S, self.times.key_proof_s)

    def use_times(self, times: GatewayTimes) -> None:
        """Take up changed bounds."""
        self.times = times
