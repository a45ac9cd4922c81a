"""Context of a node: the components that its parts share, passed explicitly."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import anyio

from lentilshore_fleet import (
    BillCopyHolder,
    ClaimStore,
    ConfigurationView,
    Ledger,
    Membership,
    SessionSigner,
)
from lentilshore_fleet.documents import DocumentCache
from lentilshore_kernel import Clock, Incarnation, MetricsRecorder, Settings
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import RefusalReason
from lentilshore_routing import (
    AdmissionQueue,
    CascadePolicy,
    Catalog,
    Placement,
    QualityEstimates,
    QuotaLimiter,
    RetryPolicy,
)
from lentilshore_routing.rollouts import ExposureBudget, OutcomeTallies

from ..clients.platform import Platform
from ..clients.upstreams import Engine, PlainService
from .explanations import ExplanationLog
from .ratings import RatingTracker
from .reachability import Reachability
from .room_queue import RoomQueue

DRAIN_RETRY_AFTER_S = 0.5
NOT_READY_RETRY_AFTER_S = 2.0


@dataclass
class NodeContext:
    """Components and state of one node.

    The flag ``drain_announced`` is set when draining begins, ``draining`` once requests
    are refused, and the event ``drain_expired`` if requests are still in flight when
    the wait for them ends.

    ``exposure`` is the budget of unrated answers of roll-out candidates, ``evidence``
    holds outcomes by version, ``copies`` holds copies of other nodes' bills, and
    ``signer`` signs session tokens.
    """

    settings: Settings
    clock: Clock
    random: random.Random
    metrics: MetricsRecorder
    incarnation: Incarnation
    platform: Platform
    configuration: ConfigurationView
    documents: DocumentCache
    membership: Membership
    placement: Placement
    queue: AdmissionQueue
    quota: QuotaLimiter
    retries: RetryPolicy
    estimates: QualityEstimates
    policy: CascadePolicy
    exposure: ExposureBudget
    evidence: OutcomeTallies
    ratings: RatingTracker
    signer: SessionSigner
    ledger: Ledger
    copies: BillCopyHolder
    claims: ClaimStore
    engine: Engine
    service: PlainService
    explanations: ExplanationLog = field(default_factory=ExplanationLog)
    drain_announced: bool = False
    draining: bool = False
    reachability: Reachability = field(default_factory=Reachability)
    drain_expired: anyio.Event = field(default_factory=anyio.Event)
    in_flight: int = 0

    def __post_init__(self) -> None:
        self.room = RoomQueue(self.clock)
        # Empty until the first configuration has arrived.
        self.catalog = Catalog({}, 0)
        self.configuration.on_change(
            lambda snapshot: setattr(
                self, "catalog", Catalog(snapshot.entries, snapshot.revision)
            )
        )

    @property
    def ready(self) -> bool:
        """Whether a load balancer should send requests here."""
        stopping = self.drain_announced or self.draining
        if self.reachability.isolated and not self.settings.serve_without_copies:
            return False
        return not stopping and self.configuration.revision > 0

    def require_ready(self) -> None:
        """Check that the node can serve a request now.

        :raises RefusalError: ``draining``, ``bill_copy_unavailable``,
            ``configuration_missing`` or ``configuration_stale``.
        """
        if self.draining:
            raise RefusalError(
                RefusalReason.DRAINING,
                detail="this node is stopping",
                retry_after_s=DRAIN_RETRY_AFTER_S,
            )
        if self.reachability.isolated and not self.settings.serve_without_copies:
            raise RefusalError(
                RefusalReason.BILL_COPY_UNAVAILABLE,
                detail="neither a peer nor the platform can hold a bill",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        if self.configuration.revision == 0:
            raise RefusalError(
                RefusalReason.CONFIGURATION_MISSING,
                detail="this node has no configuration yet",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        age_s = self.configuration.age_s
        if age_s is not None and age_s > self.settings.stale_limit_s:
            raise RefusalError(
                RefusalReason.CONFIGURATION_STALE,
                detail=f"configuration is {age_s:.0f} s old",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
