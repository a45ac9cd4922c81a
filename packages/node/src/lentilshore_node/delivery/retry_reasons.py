"""Maps the failure of an attempt to the reason of its retry."""

from __future__ import annotations

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import Execution, RefusalReason, RetryReason

RETRY_REASONS: dict[RefusalReason, RetryReason] = {
    RefusalReason.UPSTREAM_FULL: RetryReason.OVERLOADED,
    RefusalReason.UPSTREAM_PAUSED: RetryReason.PAUSED,
    RefusalReason.UPSTREAM_REPLACED: RetryReason.REPLACED,
    RefusalReason.UPSTREAM_FAILED: RetryReason.FAILED,
    RefusalReason.UPSTREAM_STALLED: RetryReason.STALLED,
    RefusalReason.UPSTREAM_TRUNCATED: RetryReason.TRUNCATED,
    RefusalReason.UPSTREAM_GARBLED: RetryReason.GARBLED,
    RefusalReason.ANSWER_MISMATCH: RetryReason.MISMATCH,
}


def retry_reason(error: UpstreamError) -> RetryReason:
    """Return the reason of the retry after a failed attempt.

    :param error: failure of the attempt.
    """
    # An attempt that failed without having run never got a connection.
    connected = error.execution is not Execution.NOT_RUN
    if error.reason is RefusalReason.UPSTREAM_FAILED and not connected:
        return RetryReason.CONNECT_FAILED
    return RETRY_REASONS.get(error.reason, RetryReason.CONNECT_FAILED)
