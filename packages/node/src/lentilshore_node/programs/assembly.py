"""Creates the components of a node and its context."""

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
from lentilshore_fleet.documents import INSTANCES_DOCUMENT, DocumentCache
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
from lentilshore_routing.rollouts import ExposureBudget, OutcomeTallies

from ..clients.http_client import HttpClient
from ..clients.platform import Platform
from ..clients.upstreams import Engine, PlainService
from ..state.context import NodeContext
from ..state.ratings import RatingTracker
from ..state.watcher import apply_instances


class ExternalClients(NamedTuple):
    """Clients of the services outside the node.

    :param platform: client of the platform's services.
    :param engine: client of model engines.
    :param service: client of plain services.
    :param copier: sends copies of bills to peers.
    """

    platform: Platform
    engine: Engine
    service: PlainService
    copier: BillCopier


def create_external_clients(
    settings: Settings, registry: Registry, http: HttpClient, copier: BillCopier
) -> ExternalClients:
    """Create the clients that the settings name.

    :param settings: settings of the node.
    :param registry: registry of the plug-ins.
    :param http: HTTP client that they share.
    :param copier: sends copies of bills to peers.
    :raises UnknownPluginError: if a plug-in is not installed.
    """
    stall_timeout_s = settings.limits.upstream_stall_s
    create_platform = registry.find("platform", settings.platform.kind)
    return ExternalClients(
        platform=create_platform(
            http, settings.platform.address, settings.platform.timeout_s
        ),
        engine=registry.find("upstream", "engine")(http, stall_timeout_s),
        service=registry.find("upstream", "service")(http, stall_timeout_s),
        copier=copier,
    )


def create_context(
    settings: Settings,
    registry: Registry,
    clock: Clock,
    incarnation: Incarnation,
    peer_address: Address,
    external_clients: ExternalClients,
    random_source: random.Random,
) -> NodeContext:
    """Create a node's context.

    :param settings: settings of the node.
    :param registry: registry of the plug-ins.
    :param clock: source of time.
    :param incarnation: incarnation of the instance.
    :param peer_address: address of the node's peer listener.
    :param external_clients: clients of the services outside the node.
    :param random_source: random numbers for identifiers, jitter and exploration.
    :raises UnknownPluginError: if the cascade policy is not installed.
    """
    limits = settings.limits
    store = external_clients.platform.store
    estimates = QualityEstimates()
    evidence, exposure = OutcomeTallies(), ExposureBudget()
    context = NodeContext(
        settings=settings,
        clock=clock,
        random=random_source,
        metrics=MetricsRecorder(),
        incarnation=incarnation,
        platform=external_clients.platform,
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
        ledger=Ledger(incarnation, store, clock, external_clients.copier),
        copies=BillCopyHolder(incarnation, store, clock),
        claims=ClaimStore(store, clock),
        engine=external_clients.engine,
        service=external_clients.service,
    )
    context.documents.on_change(INSTANCES_DOCUMENT, partial(apply_instances, context))
    return context


def _create_membership(
    settings: Settings, clock: Clock, incarnation: Incarnation, peer_address: Address
) -> Membership:
    own = Member(incarnation, settings.data_centre, peer_address)
    membership = Membership(own, clock)
    # Incarnation number 0: the incarnations of the peers are not known yet.
    membership.add_contacts(
        Member(Incarnation(peer.name, 0), peer.data_centre, peer.address)
        for peer in settings.peers
    )
    return membership
