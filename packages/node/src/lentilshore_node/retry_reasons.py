"""Reasons for which an attempt is repeated, by the failure before it."""

from __future__ import annotations

from lentilshore_kernel.types import RefusalReason, RetryReason

RETRY_REASONS: dict[RefusalReason, RetryReason] = {
    RefusalReason.UPSTREAM_FULL: RetryReason.OVERLOADED,
    RefusalReason.UPSTREAM_REPLACED: RetryReason.REPLACED,
    RefusalReason.UPSTREAM_FAILED: RetryReason.FAILED,
    RefusalReason.UPSTREAM_STALLED: RetryReason.STALLED,
    RefusalReason.UPSTREAM_TRUNCATED: RetryReason.TRUNCATED,
    RefusalReason.UPSTREAM_GARBLED: RetryReason.GARBLED,
    RefusalReason.ANSWER_MISMATCH: RetryReason.MISMATCH,
}
