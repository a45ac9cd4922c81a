"""Stand-ins for model engines, plain services and the platform."""

from .asgi import create_application, serving
from .engine import EngineOptions, EngineStandIn
from .faults import Fault, FaultKind, FaultPlan
from .platform import PlatformStandIn
from .service import ServiceStandIn
from .store import MemoryObjectStore

__all__ = [
    "EngineOptions",
    "EngineStandIn",
    "Fault",
    "FaultKind",
    "FaultPlan",
    "MemoryObjectStore",
    "PlatformStandIn",
    "ServiceStandIn",
    "create_application",
    "serving",
]
