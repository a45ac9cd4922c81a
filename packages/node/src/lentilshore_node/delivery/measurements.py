"""What the answers to one request tell about versions, replicas and load."""

from __future__ import annotations

from lentilshore_routing.placement import ReplicaLease
from lentilshore_routing.rollout_record import Rollout
from lentilshore_routing.routes import Route, shared_prefix
from lentilshore_routing.version_evidence import latency_kind
from lentilshore_routing.work_model import request_kind

from ..clients.event_splitter import EventPace
from ..clients.forwarding import ForwardRequest
from ..state.gateway_context import GatewayContext

# Up to this share of tokens that a prompt has in common with others, its first event
# comes about as soon from a cold cache as from a warm one.
SHARED_PREFIX_SHARE_LIMIT = 0.4


class AttemptMeasurements:
    """Records the outcomes and times of a request's attempts.

    :param context: context of the gateway.
    :param request: the caller's request.
    :param route: route of the request.
    """

    def __init__(
        self, context: GatewayContext, request: ForwardRequest, route: Route
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._rollout: Rollout | None = None
        self._source = ("", "", "-")
        self._lease: ReplicaLease | None = None
        self._model = ""
        self._tokens_to_read = request.prompt_tokens
        self._wait: int | None = None

    def begin(
        self,
        rollout: Rollout | None,
        upstream: tuple[str, str],
        lease: ReplicaLease,
        model: str,
    ) -> None:
        """Begin to record for an attempt.

        :param rollout: the service's roll-out, if there is one.
        :param upstream: service and version.
        :param lease: the replica.
        :param model: the model, empty where the route names none.
        """
        self._rollout = rollout
        self._source = (*upstream, lease.replica.name)
        self._lease = lease
        self._model = model
        _, shared_tokens = shared_prefix(self._request.parts, model)
        cached_tokens = shared_tokens if lease.cached else 0
        self._tokens_to_read = max(0, self._request.prompt_tokens - cached_tokens)
        self.end()
        streaming = self._route.delivery_mode.streaming
        if not streaming or not self._cache_explains_latency:
            self._wait = self._context.evidence.begin_wait(
                rollout,
                self._source,
                self._latency_kind if streaming else self._route.name,
                self._context.clock.monotonic(),
            )

    def end(self) -> None:
        """Record that the attempt has ended or has begun to answer."""
        self._context.evidence.end_wait(self._wait)
        self._wait = None

    @property
    def typical_latency_s(self) -> float:
        """Typical latency of the attempt's kind of work, seconds; 0 if unknown."""
        return self._context.typical_latencies.expected_s(self._latency_kind)

    def expected_first_event_s(self, model: str) -> float:
        """Return the expected time to the first event of a model, seconds."""
        table = self._context.view.table
        model_costs = table.model_costs if table is not None else {}
        return self._context.first_event_times.expected_s(
            model, self._request.prompt_tokens, model_costs
        )

    def record_outcome(self, bad: bool) -> None:
        """Count an answer as a success or a failure of its version."""
        self._context.evidence.record_answer(self._rollout, self._source, bad)

    def record_answer_time(self, seconds: float) -> None:
        """Record the time to a whole answer."""
        self.end()
        self._context.typical_latencies.add(self._latency_kind, seconds)
        self._record_latency(self._route.name, seconds)
        self._record_work_begun(seconds)

    def record_first_event(self, seconds: float) -> None:
        """Record the time to the first event.

        It counts as evidence about the version only if a cold cache can't explain it.
        """
        self.end()
        self._context.typical_latencies.add(self._latency_kind, seconds)
        self._record_first_event_time(seconds)
        if not self._cache_explains_latency:
            self._record_latency(self._latency_kind, seconds)

    def record_stall(self, seconds: float, first_event_pending: bool) -> None:
        """Record the time after which an attempt was given up.

        :param first_event_pending: whether it waited for the first event of a stream.
        """
        self._context.typical_latencies.add(self._latency_kind, seconds)
        if first_event_pending:
            self._record_first_event_time(seconds)

    def record_pace(self, pace: EventPace) -> None:
        """Record the mean time between events, which a cold cache does not lengthen."""
        pause_s = pace.take_mean_pause_s()
        if pause_s is not None:
            self._record_latency(f"pace/{self._model}", pause_s)
            self._record_work_pace(pause_s)

    def record_stream_end(self, last_event: int | None) -> None:
        """Record that a stream has ended.

        :param last_event: number of its last event, None if it numbers none.
        """
        if last_event is not None:
            self._context.work_model.record_events(self._work_kind, last_event)

    @property
    def _cache_explains_latency(self) -> bool:
        """Whether a cold cache may lengthen the time to the first event."""
        _, shared_tokens = shared_prefix(self._request.parts, self._model)
        limit = self._request.prompt_tokens * SHARED_PREFIX_SHARE_LIMIT
        return shared_tokens > limit

    @property
    def _latency_kind(self) -> str:
        return latency_kind(self._route.name, self._model, self._request.prompt_tokens)

    def _record_latency(self, kind: str, seconds: float) -> None:
        self._context.evidence.record_latency(
            self._rollout, self._source, kind, seconds
        )

    def _record_first_event_time(self, seconds: float) -> None:
        self._context.first_event_times.record(
            self._model, self._tokens_to_read, seconds
        )
        self._record_work_begun(seconds)

    @property
    def _work_kind(self) -> str:
        return request_kind(self._route.name, self._model, self._request.output_tokens)

    def _record_work_begun(self, seconds: float) -> None:
        """Record the time to a first event or whole answer, or until it is given up."""
        if self._lease is None or self._lease.own_work is None:
            return
        self._context.placement.backlogs.record_first_event(self._lease.own_work)
        self._context.work_model.record_first_event(
            self._source[0], self._model, self._tokens_to_read, seconds
        )

    def _record_work_pace(self, pause_s: float) -> None:
        if self._lease is None or self._lease.own_work is None:
            return
        service, model = self._source[0], self._model
        work_model = self._context.work_model
        self._context.placement.backlogs.record_pause(
            self._lease.own_work, pause_s, work_model.pause_s(service, model)
        )
        work_model.record_pause(service, model, pause_s)
