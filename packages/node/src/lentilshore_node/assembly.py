"""Assembles the parts of a node."""

from __future__ import annotations

import random
from functools import partial
from typing import NamedTuple

from lentilshore_fleet import (
    BillCopier,
    BillCopyHolder,
    ClaimStore,
    ConfigurationView,
    Ledger,
    Member,
    Membership,
    SessionSigner,
)
from lentilshore_fleet.documents import INSTANCES, DocumentCache
from lentilshore_kernel import (
    Clock,
    Incarnation,
    MetricsRecorder,
    Registry,
    Settings,
)
from lentilshore_kernel.types import Address
from lentilshore_routing import (
    AdmissionQueue,
    Placement,
    QualityEstimates,
    QuotaLimiter,
    RetryPolicy,
)
from lentilshore_routing.rollouts import EvidenceBook, ExposureBudget

from .context import NodeContext
from .http_client import HttpClient
from .platform import Platform
from .ratings import RatingTracker
from .upstreams import Engine, PlainService
from .watcher import apply_instances


class Surroundings(NamedTuple):
    """What a node meets outside itself.

    :param platform: the platform's services.
    :param engine: client of model engines.
    :param service: client of plain services.
    :param copier: copies bills to peers.
    """

    platform: Platform
    engine: Engine
    service: PlainService
    copier: BillCopier


def create_surroundings(
    settings: Settings, registry: Registry, http: HttpClient, copier: BillCopier
) -> Surroundings:
    """Create the clients that the settings name.

    :raises UnknownPluginError: if a plug-in is not installed.
    """
    stall_s = settings.limits.upstream_stall_s
    create_platform = registry.find("platform", settings.platform.kind)
    return Surroundings(
        platform=create_platform(
            http, settings.platform.address, settings.platform.timeout_s
        ),
        engine=registry.find("upstream", "engine")(http, stall_s),
        service=registry.find("upstream", "service")(http, stall_s),
        copier=copier,
    )


def create_context(
    settings: Settings,
    registry: Registry,
    clock: Clock,
    incarnation: Incarnation,
    peer_address: Address,
    surroundings: Surroundings,
    random_source: random.Random,
) -> NodeContext:
    """Create a node's context.

    :param settings: settings of the node.
    :param registry: plug-ins.
    :param clock: source of time.
    :param incarnation: this life of the instance.
    :param peer_address: where its peer listener listens.
    :param surroundings: what it meets outside itself.
    :param random_source: source of identifiers, jitter and exploration.
    """
    limits = settings.limits
    store = surroundings.platform.store
    estimates = QualityEstimates()
    evidence, exposure = EvidenceBook(), ExposureBudget()
    context = NodeContext(
        settings=settings,
        clock=clock,
        random=random_source,
        metrics=MetricsRecorder(),
        incarnation=incarnation,
        platform=surroundings.platform,
        configuration=ConfigurationView(clock),
        documents=DocumentCache(),
        membership=_create_membership(settings, clock, incarnation, peer_address),
        placement=Placement(settings.instance, clock, random_source),
        queue=AdmissionQueue(
            clock,
            limits.concurrent_requests,
            limits.queued_requests,
            limits.queue_wait_s,
        ),
        quota=QuotaLimiter(clock),
        retries=RetryPolicy(),
        estimates=estimates,
        policy=registry.find("policy", settings.policy)(estimates, random_source),
        exposure=exposure,
        evidence=evidence,
        ratings=RatingTracker(estimates, evidence, exposure),
        signer=SessionSigner([key.read() for key in settings.session_keys]),
        ledger=Ledger(incarnation, store, clock, surroundings.copier),
        copies=BillCopyHolder(incarnation, store, clock),
        claims=ClaimStore(store, clock),
        engine=surroundings.engine,
        service=surroundings.service,
    )
    context.documents.on_change(INSTANCES, partial(apply_instances, context))
    return context


def _create_membership(
    settings: Settings, clock: Clock, incarnation: Incarnation, address: Address
) -> Membership:
    own = Member(incarnation, settings.data_centre, address)
    membership = Membership(own, clock)
    membership.add_contacts(
        Member(Incarnation(peer.name, 0), peer.data_centre, peer.address)
        for peer in settings.peers
    )
    return membership
