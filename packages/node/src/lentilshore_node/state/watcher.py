"""Watches the platform for changes, on a few nodes of each data centre."""

from __future__ import annotations

from typing import Any

from lentilshore_fleet import ConfigurationStore, Member
from lentilshore_fleet.documents import (
    INSTANCES_DOCUMENT,
    MERGED_REPORTS_DOCUMENT,
    SHARES_DOCUMENT,
    Document,
)
from lentilshore_kernel import log_event, record_task_failure
from lentilshore_kernel.exceptions import StoreError
from lentilshore_kernel.types import Address, Incarnation
from lentilshore_routing import Replica

from .context import NodeContext

# Limits of the delay, before jitter, after a failed call of the platform. It doubles
# with each failure; after an unexpected error it is the maximum.
RETRY_MIN_S = 0.5
RETRY_MAX_S = 4.0
# Time after the start within which peers should have relayed the configuration.
RELAY_TIMEOUT_S = 3.0
# Interval at which a node that does not watch, or finds no configuration, looks again.
IDLE_CHECK_INTERVAL_S = 1.0
# Keys in the platform's store, by name of the document.
STORE_KEYS_BY_DOCUMENT = {
    MERGED_REPORTS_DOCUMENT: "learned/merged",
    SHARES_DOCUMENT: "shares/table",
}


class Watcher:
    """Keeps this node's configuration and documents current.

    A node that is not one of its data centre's watchers receives them from peers.
    Such a node watches the platform only while no peer is linked, or if it still has
    no configuration :data:`RELAY_TIMEOUT_S` after its start.

    :param context: the node.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._configuration_store = ConfigurationStore(
            context.platform.store, context.clock
        )
        self._head_version = 0
        self._started_at = context.clock.monotonic()

    async def run_configuration(self) -> None:
        """Watch the configuration until cancelled."""
        await self._watch_forever(self._watch_configuration)

    async def run_instances(self) -> None:
        """Watch the instance list until cancelled."""
        await self._watch_forever(self._watch_instances)

    async def run_document(self, name: str) -> None:
        """Watch a stored document until cancelled.

        :param name: name of the document, a key of :data:`STORE_KEYS_BY_DOCUMENT`.
        """

        async def watch() -> None:
            documents = self._context.documents
            key = STORE_KEYS_BY_DOCUMENT[name]
            stored = await self._context.platform.store.watch(
                key, documents.version(name)
            )
            if stored is not None:
                documents.update(Document(name, stored.version, stored.value))

        await self._watch_forever(watch)

    async def _watch_configuration(self) -> None:
        view = self._context.configuration
        known = view.snapshot
        if view.revision == 0:
            snapshot = await self._configuration_store.read(known)
        else:
            snapshot, self._head_version = await self._configuration_store.watch(
                known, self._head_version
            )
        if view.adopt(snapshot):
            log_event("configuration_adopted", revision=view.revision)
        view.confirm()
        if view.revision == 0:
            # The store has no configuration yet.
            await self._context.clock.sleep(IDLE_CHECK_INTERVAL_S)

    async def _watch_instances(self) -> None:
        documents = self._context.documents
        version, instances = await self._context.platform.instances(
            documents.version(INSTANCES_DOCUMENT)
        )
        if version:
            documents.update(Document(INSTANCES_DOCUMENT, version, instances))

    async def _watch_forever(self, watch: Any) -> None:
        delay_s = RETRY_MIN_S
        while True:
            if not self._should_watch():
                await self._context.clock.sleep(IDLE_CHECK_INTERVAL_S)
                continue
            try:
                await watch()
                self._context.reachability.record_platform_call(True)
                delay_s = RETRY_MIN_S
            except StoreError as error:
                self._context.reachability.record_platform_call(False)
                self._context.metrics.count("platform.unavailable")
                log_event("platform_unavailable", detail=str(error))
                await self._pause(delay_s)
                delay_s = min(2 * delay_s, RETRY_MAX_S)
            except Exception as error:  # noqa: BLE001
                record_task_failure(self._context.metrics, error)
                await self._pause(RETRY_MAX_S)

    async def _pause(self, delay_s: float) -> None:
        jitter = self._context.random.uniform(0.5, 1.5)
        await self._context.clock.sleep(delay_s * jitter)

    def _should_watch(self) -> bool:
        if (
            self._context.membership.is_watcher()
            or not self._context.reachability.linked
        ):
            return True
        waited_s = self._context.clock.monotonic() - self._started_at
        return self._context.configuration.revision == 0 and waited_s > RELAY_TIMEOUT_S


def apply_instances(context: NodeContext, instances: list[dict[str, Any]]) -> None:
    """Apply a new instance list to membership and placement.

    :param context: the node.
    :param instances: records of instances of every role, with ``name``, ``role``,
        ``data_centre``, ``host``, ``port``, ``groups`` and ``state``.
    """
    nodes = [item for item in instances if item["role"] == "node"]
    context.membership.add_contacts(
        Member(
            Incarnation(item["name"], 0),  # 0: number unknown
            item["data_centre"],
            Address(item["host"], item["port"]),
        )
        for item in nodes
        if item["state"] == "live"
    )
    replicas = [
        Replica(
            item["name"],
            item["role"],
            Address(item["host"], item["port"]),
            item["data_centre"],
            tuple(item["groups"]),
            item["state"] != "live",  # draining
        )
        for item in instances
        if item["role"] != "node"
    ]
    names = [member.name for member in context.membership.live]
    context.placement.update(replicas, names)
