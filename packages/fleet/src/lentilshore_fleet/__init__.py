"""Agreement among nodes: configuration, membership, leases, claims, ledger."""

from .accounts import compact, read_totals
from .bills import Bill, BillLine
from .claims import Claim, ClaimStore, Replay
from .configuration import (
    Change,
    ConfigurationStore,
    ConfigurationView,
    Delta,
    Snapshot,
)
from .leases import LeaseManager
from .ledger import BillCopier, CopyKeeper, Ledger
from .membership import Member, Membership, MemberState
from .sessions import Session, SessionSigner
from .store import ObjectStore, StoredObject, read_back

__all__ = [
    "Bill",
    "BillCopier",
    "BillLine",
    "Change",
    "Claim",
    "ClaimStore",
    "ConfigurationStore",
    "ConfigurationView",
    "CopyKeeper",
    "Delta",
    "LeaseManager",
    "Ledger",
    "Member",
    "MemberState",
    "Membership",
    "ObjectStore",
    "Replay",
    "Session",
    "SessionSigner",
    "Snapshot",
    "StoredObject",
    "compact",
    "read_back",
    "read_totals",
]
