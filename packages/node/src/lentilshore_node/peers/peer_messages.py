"""Conversion between the fleet's types and messages of the peer protocol."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from lentilshore_fleet import Member, MemberState, Snapshot
from lentilshore_fleet.documents import Document
from lentilshore_kernel.json import decode_json
from lentilshore_kernel.types import Address, Incarnation

from ..state.context import NodeContext

STATE_NAMES = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "dead",
    MemberState.LEFT: "left",
}
_STATES_BY_NAME = {name: state for state, name in STATE_NAMES.items()}
UNKNOWN_AGE_MS = -1


def member_to_message(member: Member) -> dict[str, Any]:
    """Convert a member to its message."""
    node, number = member.incarnation
    return {
        "incarnation": {"node": node, "number": number},
        "dataCentre": member.data_centre,
        "host": member.address.host,
        "port": member.address.port,
        "state": STATE_NAMES[member.state],
        "refutation": member.refutation,
    }


def member_from_message(message: Any) -> Member:
    """Convert a message to its member."""
    return Member(
        Incarnation(message.incarnation.node, message.incarnation.number),
        message.dataCentre,
        Address(message.host, message.port),
        _STATES_BY_NAME[str(message.state)],
        message.refutation,
    )


def build_heartbeat(
    context: NodeContext,
    receiver: str,
    receiver_revision: int | None,
    receiver_versions: dict[str, int],
) -> dict[str, Any]:
    """Build a heartbeat with the configuration and documents that the receiver lacks.

    :param context: the node.
    :param receiver: name of the receiver, empty if it is not known.
    :param receiver_revision: the receiver's configuration revision, None if not known
        yet.
    :param receiver_versions: versions of the documents, such as the instance list, that
        the receiver has, by name of the document.
    """
    own_revision = context.configuration.revision
    # The receiver's own record comes first if this node holds it suspect or dead, so
    # that the receiver can refute it.
    news = context.membership.suspicion_of(receiver) + context.membership.next_gossip()
    message: dict[str, Any] = {
        "sender": member_to_message(context.membership.own),
        "news": [member_to_message(m) for m in news],
        "revision": own_revision,
        "documents": _build_documents(context, receiver_versions),
    }
    age_s = context.configuration.age_s
    age_ms = UNKNOWN_AGE_MS if age_s is None else int(age_s * 1000)
    configuration: dict[str, Any] = {"revision": own_revision, "ageMs": age_ms}
    if receiver_revision is not None and receiver_revision < own_revision:
        configuration.update(_missing_configuration(context, receiver_revision))
    message["configuration"] = configuration
    return message


def apply_heartbeat(context: NodeContext, message: Any) -> None:
    """Apply a received heartbeat to membership, configuration and documents.

    :param context: the node.
    :param message: the sender's message.
    """
    sender = member_from_message(message.sender)
    news = [sender, *(member_from_message(item) for item in message.news)]
    context.membership.merge(news)
    context.membership.record_heartbeat(sender.name)
    _apply_configuration(context, message.configuration)
    for item in message.documents:
        # The record is empty if the sender only states its version.
        if item.record:
            value = decode_json(item.record)
            context.documents.update(Document(item.name, item.version, value))


def document_versions(message: Any) -> dict[str, int]:
    """Return the document versions that a message lists, by name."""
    return {item.name: item.version for item in message.documents}


def _apply_configuration(context: NodeContext, message: Any) -> None:
    view = context.configuration
    if message.snapshot:
        entries = decode_json(message.snapshot)
        view.adopt(Snapshot(message.revision, entries))
    for item in message.deltas:
        view.apply(decode_json(item.record))
    if message.ageMs != UNKNOWN_AGE_MS and message.revision == view.revision:
        view.confirm(message.ageMs / 1000)


def _missing_configuration(
    context: NodeContext, receiver_revision: int
) -> dict[str, Any]:
    deltas = context.configuration.deltas_after(receiver_revision)
    if deltas is None:
        entries = context.configuration.snapshot.entries
        return {"snapshot": msgspec.json.encode(entries)}
    return {"deltas": [{"record": msgspec.json.encode(delta)} for delta in deltas]}


def _build_documents(
    context: NodeContext, receiver_versions: dict[str, int]
) -> Sequence[dict[str, Any]]:
    newer = {
        item.name: item for item in context.documents.newer_than(receiver_versions)
    }
    return [
        {
            "name": name,
            "version": version,
            "record": msgspec.json.encode(newer[name].value) if name in newer else b"",
        }
        for name, version in context.documents.versions.items()
    ]
