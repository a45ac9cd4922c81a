"""Exceptions of lentilshore: one base class, one class per kind of failure."""

from __future__ import annotations

from .types import Execution, RefusalReason

STATUS_BY_REASON: dict[RefusalReason, int] = {
    RefusalReason.MALFORMED_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.HEAD_TOO_LARGE: 431,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.UNKNOWN_PATH: 404,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_OPERATION: 404,
    RefusalReason.VERSION_FORBIDDEN: 403,
    RefusalReason.VERSION_WITHDRAWN: 410,
    RefusalReason.SESSION_INVALID: 400,
    RefusalReason.DEADLINE_INVALID: 400,
    RefusalReason.DEADLINE_UNMEETABLE: 503,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.QUOTA_CUSTOMER: 429,
    RefusalReason.QUOTA_USER: 429,
    RefusalReason.QUOTA_TREE: 429,
    RefusalReason.QUOTA_UPSTREAM: 429,
    RefusalReason.EXPOSURE_EXHAUSTED: 503,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.RETRY_BUDGET_EXHAUSTED: 503,
    RefusalReason.NO_UPSTREAM: 503,
    RefusalReason.UPSTREAM_FAILED: 502,
    RefusalReason.UPSTREAM_GARBLED: 502,
    RefusalReason.UPSTREAM_STALLED: 504,
    RefusalReason.UPSTREAM_TRUNCATED: 502,
    RefusalReason.UPSTREAM_FULL: 503,
    RefusalReason.UPSTREAM_REPLACED: 503,
    RefusalReason.UPSTREAM_LIMITED: 503,
    RefusalReason.UPSTREAM_UNREACHABLE: 503,
    RefusalReason.UPSTREAM_BUSY: 503,
    RefusalReason.PROMPT_PART_BLAMED: 503,
    RefusalReason.REQUEST_BLAMED: 503,
    RefusalReason.UPSTREAM_PAUSED: 503,
    RefusalReason.UPSTREAM_EVACUATED: 503,
    RefusalReason.CUSTOMER_OVER_SHARE: 503,
    RefusalReason.ANSWER_MISMATCH: 502,
    RefusalReason.IDEMPOTENCY_KEY_REQUIRED: 400,
    RefusalReason.IDEMPOTENCY_KEY_REUSED: 422,
    RefusalReason.IDEMPOTENCY_IN_PROGRESS: 409,
    RefusalReason.OUTCOME_UNKNOWN: 409,
    RefusalReason.CLAIM_UNAVAILABLE: 503,
    RefusalReason.BILL_COPY_UNAVAILABLE: 503,
    RefusalReason.CONFIGURATION_MISSING: 503,
    RefusalReason.CONFIGURATION_STALE: 503,
    RefusalReason.DRAINING: 503,
    RefusalReason.CALLER_TOO_SLOW: 408,
    RefusalReason.KEY_UNPROVED: 503,
    RefusalReason.INTERNAL: 500,
}


class LentilshoreError(Exception):
    """Base class of every error that lentilshore raises.

    :cvar exit_code: exit status of a program that ends with this error.
    """

    exit_code = 1

    def format_message(self) -> str:
        """Return the message that a program prints for its user.

        :returns: one line, or several for errors that carry a list.
        """
        return str(self)


class UsageError(LentilshoreError):
    """A command was called with an invalid value."""

    exit_code = 2


class SettingProblemError(UsageError):
    """One invalid value in a settings file.

    :param file: path of the settings file.
    :param line: line number, from 1; 0 if not known.
    :param path: location in the document, such as ``peers.0.port``.
    :param expected: what the setting accepts.
    :param found: the value in the file.
    """

    def __init__(
        self, file: str, line: int, path: str, expected: str, found: str
    ) -> None:
        self.file = file
        self.line = line
        self.path = path
        self.expected = expected
        self.found = found
        super().__init__(f"{file}:{line}: {path}: {expected}, found {found}")


class SettingsError(UsageError):
    """A settings file has one or more problems.

    :param problems: every problem found, in document order.
    """

    def __init__(self, problems: list[SettingProblemError]) -> None:
        self.problems = problems
        super().__init__(f"{len(problems)} problem(s) in the settings")

    def format_message(self) -> str:
        """Return one line per problem."""
        return "\n".join(str(problem) for problem in self.problems)


class UnknownPluginError(UsageError):
    """No plug-in with this name is registered.

    :param group: plug-in group, such as ``platform``.
    :param name: the name that was looked up.
    :param known: names that are registered in the group.
    """

    def __init__(self, group: str, name: str, known: list[str]) -> None:
        self.group = group
        self.name = name
        self.known = known
        super().__init__(
            f"no {group} plug-in named {name!r}; expected one of {', '.join(known)}"
        )


class RefusalError(LentilshoreError):
    """A caller's request is refused.

    :param reason: why it is refused.
    :param execution: whether the request ran, as far as can be proved.
    :param detail: sentence for the caller that names the invalid value; the reason
        in words if empty.
    :param retry_after_s: seconds after which the caller may retry; None if a retry
        does not help.

    The attribute ``request_id`` holds the identifier of the request, empty until the
    request has one, and ``sent`` whether it was sent to an upstream.
    """

    def __init__(
        self,
        reason: RefusalReason,
        execution: Execution = Execution.NOT_RUN,
        detail: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        self.reason = reason
        self.execution = execution
        self.detail = detail or reason.value.replace("_", " ")
        self.retry_after_s = retry_after_s
        self.request_id = ""
        self.sent = False
        super().__init__(f"{reason.value}: {self.detail}")

    @property
    def status(self) -> int:
        """HTTP status of the response that carries this refusal."""
        return STATUS_BY_REASON[self.reason]


class StoreError(LentilshoreError):
    """Base class of the errors of the platform's object API."""

    exit_code = 3


class StoreUnavailableError(StoreError):
    """The store refused the call or was unreachable; nothing was applied."""


class StoreAmbiguousError(StoreError):
    """The response to a write was lost; the write may have been applied."""


class StoreConflictError(StoreError):
    """A conditional write expected a version other than the stored one.

    :param key: key of the object.
    :param current_version: version in the store, 0 if the object does not exist.
    """

    def __init__(self, key: str, current_version: int) -> None:
        self.key = key
        self.current_version = current_version
        super().__init__(f"{key}: version is {current_version}")


class StoreHistoryGoneError(StoreError):
    """The store no longer has the changes since a revision; it must be listed again."""


class StoreValueTooLargeError(StoreError):
    """A value exceeds the store's size limit."""


class RevisionConflictError(LentilshoreError):
    """A change was made against a revision that is no longer current.

    :param expected: revision that the change was made against.
    :param current: revision in force.
    """

    exit_code = 4

    def __init__(self, expected: int, current: int) -> None:
        self.expected = expected
        self.current = current
        super().__init__(f"change is against revision {expected}, current is {current}")


class ChangeInvalidError(LentilshoreError):
    """An operator's change does not fit the configuration's types.

    :param problems: one sentence per problem, each naming location and value.
    """

    exit_code = 2

    def __init__(self, problems: list[str]) -> None:
        self.problems = problems
        super().__init__("; ".join(problems))


class LeaseLostError(LentilshoreError):
    """The lease is not held, or expires too soon to act under it."""

    exit_code = 5


class PeerUnavailableError(LentilshoreError):
    """A peer was unreachable or did not respond in time."""

    exit_code = 3


class UpstreamError(LentilshoreError):
    """An attempt at an upstream failed.

    :param reason: reason of the caller's refusal if no other attempt succeeds.
    :param execution: whether the attempt ran, as far as can be proved.
    :param detail: sentence that says what happened.
    """

    exit_code = 3

    def __init__(
        self, reason: RefusalReason, execution: Execution, detail: str
    ) -> None:
        self.reason = reason
        self.execution = execution
        self.detail = detail
        super().__init__(f"{reason.value}: {detail}")
