"""Routing decisions: catalogue, cascade, placement, admission, limits, retries."""

from .admission import AdmissionQueue
from .cascade import Candidate, CascadePolicy, Query, Tried, answer_cell
from .catalog import Catalog, Customer, check_record, hash_key
from .estimates import (
    Cell,
    Features,
    QualityEstimates,
    confidence_class,
    length_class,
)
from .placement import Lease, Placement, Replica, prefix_hash
from .quota import QuotaLimiter, Reservation
from .retries import RetryPolicy

__all__ = [
    "AdmissionQueue",
    "Candidate",
    "CascadePolicy",
    "Catalog",
    "Cell",
    "Customer",
    "Features",
    "Lease",
    "Placement",
    "QualityEstimates",
    "Query",
    "QuotaLimiter",
    "Replica",
    "Reservation",
    "RetryPolicy",
    "Tried",
    "answer_cell",
    "check_record",
    "confidence_class",
    "hash_key",
    "length_class",
    "prefix_hash",
]
