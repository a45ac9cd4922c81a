"""Data types that all packages share."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import NamedTuple


class Execution(StrEnum):
    """Whether a request ran at an upstream, as far as can be proved."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """Closed enumeration of the reasons for which a request is refused."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_OPERATION = "unknown_operation"
    VERSION_FORBIDDEN = "version_forbidden"
    VERSION_WITHDRAWN = "version_withdrawn"
    SESSION_INVALID = "session_invalid"
    DEADLINE_INVALID = "deadline_invalid"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    QUOTA_CUSTOMER = "quota_customer"
    QUOTA_USER = "quota_user"
    QUOTA_TREE = "quota_tree"
    QUOTA_UPSTREAM = "quota_upstream"
    EXPOSURE_EXHAUSTED = "exposure_exhausted"
    QUEUE_FULL = "queue_full"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_GARBLED = "upstream_garbled"
    UPSTREAM_STALLED = "upstream_stalled"
    UPSTREAM_TRUNCATED = "upstream_truncated"
    UPSTREAM_FULL = "upstream_full"
    UPSTREAM_REPLACED = "upstream_replaced"
    UPSTREAM_LIMITED = "upstream_limited"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_BUSY = "upstream_busy"
    PROMPT_PART_BLAMED = "prompt_part_blamed"
    REQUEST_BLAMED = "request_blamed"
    UPSTREAM_PAUSED = "upstream_paused"
    UPSTREAM_EVACUATED = "upstream_evacuated"
    CUSTOMER_OVER_SHARE = "customer_over_share"
    ANSWER_MISMATCH = "answer_mismatch"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IDEMPOTENCY_IN_PROGRESS = "idempotency_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    BILL_COPY_UNAVAILABLE = "bill_copy_unavailable"
    CONFIGURATION_MISSING = "configuration_missing"
    CONFIGURATION_STALE = "configuration_stale"
    DRAINING = "draining"
    CALLER_TOO_SLOW = "caller_too_slow"
    KEY_UNPROVED = "key_unproved"
    INTERNAL = "internal"


class RetryReason(StrEnum):
    """Closed enumeration of the reasons for which an attempt is repeated."""

    CONNECT_FAILED = "connect_failed"
    OVERLOADED = "overloaded"
    REPLACED = "replaced"
    FAILED = "failed"
    STALLED = "stalled"
    TRUNCATED = "truncated"
    GARBLED = "garbled"
    MISMATCH = "mismatch"
    ESCALATED = "escalated"
    PAUSED = "paused"


class RetryDenial(StrEnum):
    """Closed enumeration of what keeps a failed attempt from being repeated."""

    UNREPEATABLE = "unrepeatable"
    ANSWER_STARTED = "answer_started"
    ROUTE_ATTEMPTS = "route_attempts"
    TIME_LEFT = "time_left"
    TREE_LIMIT = "tree_limit"
    BUDGET = "budget"
    PROMPT_PART_SUSPECTED = "prompt_part_suspected"
    REQUEST_SUSPECTED = "request_suspected"
    NO_ROOM = "no_room"


class StateChange(StrEnum):
    """Closed enumeration of the changes that a node sees in the fleet and in itself."""

    CONFIGURATION_TAKEN_UP = "configuration_taken_up"
    REPLICA_SEEN = "replica_seen"
    REPLICA_CHANGED = "replica_changed"
    REPLICA_REBORN = "replica_reborn"
    REPLICA_VANISHED = "replica_vanished"
    REPLICA_GONE = "replica_gone"
    REPLICA_LEAVING = "replica_leaving"
    REPLICA_PAUSED = "replica_paused"
    REPLICA_EJECTED = "replica_rested"
    REPLICA_LIMITED = "replica_limited"
    REPLICA_LIMIT_ENDED = "replica_limit_ended"
    REPLICA_COLD = "replica_cold"
    REPLICA_WARM = "replica_warm"
    REPLICA_SCARCE = "replica_scarce"
    REPLICA_SCARCITY_ENDED = "replica_scarcity_ended"
    PROMPT_PART_BLAMED = "prompt_part_blamed"
    PROMPT_PART_CLEARED = "prompt_part_cleared"
    REQUEST_BLAMED = "request_blamed"
    REQUEST_CLEARED = "request_cleared"
    ROLLOUT_SEEN = "rollout_seen"
    ROLLOUT_GONE = "rollout_gone"
    ROLLOUT_KEPT = "rollout_kept"
    ROLLOUT_STEP = "rollout_step"
    ROLLOUT_STEP_FAILED = "rollout_step_failed"
    ROUTING_BY_WORK_CHANGED = "routing_by_work_changed"
    SERVICE_CUT_OFF = "service_cut_off"
    SERVICE_DOWN = "service_down"
    SERVICE_REACHED = "service_reached"
    SERVICE_SHORT = "service_short"
    SERVICE_SHORTAGE_ENDED = "service_shortage_ended"
    CUSTOMER_LIMITED = "customer_limited"
    CUSTOMER_LIMIT_ENDED = "customer_limit_ended"
    STORE_LOST = "store_lost"
    STORE_REGAINED = "store_regained"
    HISTORY_GONE = "history_gone"
    STORE_RESTORED = "store_restored"
    READINESS_CHANGED = "readiness_changed"
    ENTRY_UNREADABLE = "entry_unreadable"
    DATA_CENTRE_CLOSED = "data_centre_closed"
    DATA_CENTRE_OPENED = "data_centre_opened"


class Priority(int, Enum):
    """Priority of a request in the queue; lower values are dispatched first."""

    INTERACTIVE = 0
    NORMAL = 1
    BATCH = 2


class ModelVersion(NamedTuple):
    """One version of one model.

    :param model: name of the model.
    :param version: name of the version.
    """

    model: str
    version: str

    def __str__(self) -> str:
        return f"{self.model}@{self.version}"


class Address(NamedTuple):
    """IP address and port of a process.

    :param host: IPv4 or IPv6 address.
    :param port: port, 0 for one that the operating system chooses.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class StoreRevision(NamedTuple):
    """Revision of the platform's store, ordered by era first.

    A store that was restored from a copy begins a new era, in which it gives out
    revisions of the old one again, for other content.

    :param era: number of restores so far, 0 if the store reports none.
    :param number: revision within the era.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}/{self.number}"


class Incarnation(NamedTuple):
    """One run of one instance, from its start to its stop.

    :param node: name of the instance.
    :param number: start time in milliseconds since the Unix epoch, higher for each
        later run.
    """

    node: str
    number: int

    def __str__(self) -> str:
        return f"{self.node}.{self.number}"


def parse_model_version(text: str) -> ModelVersion:
    """Parse ``model@version``.

    :param text: the text to parse.
    :returns: the model and version.
    :raises ValueError: if there is no ``@`` or a side is empty.
    """
    model, _, version = text.partition("@")
    if not model or not version:
        raise ValueError(f"{text!r} is not of the form model@version")
    return ModelVersion(model, version)
