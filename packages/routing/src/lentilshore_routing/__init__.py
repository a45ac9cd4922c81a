"""Routing decisions: catalogue, cascade, placement, admission, limits, retries."""

from typing import Any

from .admission import AdmissionQueue
from .cascade import (
    CascadeOption,
    CascadePolicy,
    CascadeRequest,
    TriedAnswer,
    calibration_cell,
)
from .estimates import (
    CalibrationCell,
    Features,
    QualityEstimates,
    confidence_class,
    length_class,
)
from .placement import Placement, ReplicaLease
from .replicas import Replica, prefix_hash
from .retries import RetryPolicy

__all__ = [
    "AdmissionQueue",
    "CascadeOption",
    "CascadePolicy",
    "Catalog",
    "CalibrationCell",
    "Customer",
    "Features",
    "ReplicaLease",
    "Placement",
    "QualityEstimates",
    "CascadeRequest",
    "QuotaLimiter",
    "Replica",
    "Reservation",
    "RetryPolicy",
    "TriedAnswer",
    "calibration_cell",
    "check_record",
    "confidence_class",
    "hash_key",
    "length_class",
    "prefix_hash",
]

_CATALOG_NAMES = ("Catalog", "Customer", "check_record", "hash_key")
_QUOTA_NAMES = ("QuotaLimiter", "Reservation")


def __getattr__(name: str) -> Any:
    """Import the catalogue, and with it pydantic, only on first use."""
    if name in _CATALOG_NAMES:
        from . import catalog

        return getattr(catalog, name)
    if name in _QUOTA_NAMES:
        from . import quota

        return getattr(quota, name)
    raise AttributeError(name)
