"""Kernel: types, errors, settings, plug-in registry, clock, logs, metrics."""

from typing import Any

from .clock import Clock, SystemClock
from .exceptions import LentilshoreError, RefusalError, StoreError, UpstreamError
from .logs import log_event, start_logging
from .metrics import (
    Metrics,
    MetricsRecorder,
    record_state_change,
    record_task_failure,
    refusal_counter,
    retry_counter,
)
from .registry import Registry, load_plugins, plugin
from .types import (
    Address,
    Execution,
    Incarnation,
    ModelVersion,
    Priority,
    RefusalReason,
    RetryReason,
    StateChange,
    parse_model_version,
)

__all__ = [
    "Address",
    "Clock",
    "Execution",
    "Incarnation",
    "LentilshoreError",
    "Metrics",
    "MetricsRecorder",
    "ModelVersion",
    "Priority",
    "RefusalError",
    "RefusalReason",
    "Registry",
    "RetryReason",
    "Settings",
    "StateChange",
    "StoreError",
    "SystemClock",
    "UpstreamError",
    "load_plugins",
    "load_settings",
    "log_event",
    "parse_model_version",
    "plugin",
    "record_state_change",
    "record_task_failure",
    "refusal_counter",
    "retry_counter",
    "start_logging",
]

_LAZY_SETTINGS_NAMES = ("Settings", "load_settings")


def __getattr__(name: str) -> Any:
    """Import the settings module, and with it pydantic, only when it is used."""
    if name not in _LAZY_SETTINGS_NAMES:
        raise AttributeError(name)
    from . import settings

    return getattr(settings, name)
