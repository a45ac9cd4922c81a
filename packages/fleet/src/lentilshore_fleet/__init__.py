"""State shared by nodes: configuration, membership, leases, claims and bills."""

from .accounts import compact_bills, read_totals
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
from .ledger import BillCopier, BillCopyHolder, Ledger
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
    "BillCopyHolder",
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
    "compact_bills",
    "read_back",
    "read_totals",
]
