"""Load shedding while the replicas of a service lack capacity.

A gateway decides by its own traffic alone. While replicas reject many of its requests,
a customer that takes well more than its share, at the expense of others, is limited.
Its limit falls while requests of others are rejected, never below its share, and rises
otherwise, so that capacity that others leave is used.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import NamedTuple, TypeVar

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.types import RefusalReason

T = TypeVar("T")

# A shortage begins once replicas have rejected this share of what was sent in a second,
# in so many of the last seconds.
REJECTED_SHARE = 0.1
REJECTING_SECONDS = 3
WINDOW_S = 5
# A gateway with fewer requests within the window refuses nobody.
MIN_REQUESTS = 20
# Seconds with requests, and requests in them, from which usual shares are known.
USUAL_S = 30
MIN_USUAL_REQUESTS = 60
# What a customer uses is compared with its share over this time. Within the window, a
# gateway with 8 requests a second sees too few of a customer to tell chance from a
# burst.
EVIDENCE_S = 10
# A customer is limited if it uses more than its share by this part of it, times the
# share of the others, and by this many standard deviations of chance besides.
OVER_SHARE = 0.5
DEVIATIONS = 3.0
# A limit falls in a second in which replicas have rejected this share of the attempts
# of others, and rises in one without a rejecting share; in between it stays. Where it
# rose there too, others got 0.57 instead of 0.81 of their requests served in a model.
FALL_REJECTED_SHARE = 0.25
LIMIT_FALL_FACTOR = 0.9
LIMIT_RISE_FACTOR = 1.25
# Each customer and request type is admitted at least at this share of the rate at which
# all are.
MIN_SERVICE_SHARE = 0.25
# Work that a limited customer saves up, or overdraws with its most urgent requests, as
# the time in which its limit allows it.
SAVED_WORK_S = 1.0
# Waits that must be known before a request is refused for its deadline. It is refused
# if even the shortest quarter of them took longer than it has.
MIN_WAITS = 8
SHORT_WAITS_SHARE = 0.25
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
# Callers return after up to a third of the time that they have left; some of it passes
# on the way.
RETRY_TIME_LEFT_SHARE = 0.3
# Retry delays at their upper bound are shorter by up to this share, so that callers do
# not come back together.
RETRY_SPREAD_SHARE = 0.25


class Admission(NamedTuple):
    """Whether a request may be sent.

    :param refusal: reason for which it must not, None if it may.
    :param retry_after_s: time after which the caller has a chance, seconds.
    :param short: whether the service lacks capacity.
    :param kept: whether it may be sent only because its type or customer would else
        get too little.
    """

    refusal: RefusalReason | None = None
    retry_after_s: float = 0.0
    short: bool = False
    kept: bool = False


class ShortageEvent(StrEnum):
    """Closed enumeration of the changes that the control reports."""

    BEGAN = "began"
    ENDED = "ended"
    CUSTOMER_LIMITED = "customer_limited"
    CUSTOMER_LIMIT_ENDED = "customer_limit_ended"


class ShortageChange(NamedTuple):
    """Beginning or end of a shortage or of a customer's limit.

    :param event: kind of the change.
    :param service: name of the service.
    :param customer: name of the customer, empty for a shortage.
    :param rate: limit, work per second; 0 where there is none.
    """

    event: ShortageEvent
    service: str
    customer: str = ""
    rate: float = 0.0


class _Second:
    """What happened within one second; work by customer, counts by request class."""

    def __init__(self) -> None:
        self.asked: Counter[tuple[str, int]] = Counter()
        self.admitted: Counter[tuple[str, int]] = Counter()
        self.demand: Counter[str] = Counter()
        self.used: Counter[str] = Counter()
        self.used_squares: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()
        self.waits: list[tuple[int, float]] = []

    @property
    def rejecting(self) -> bool:
        """Whether replicas have rejected enough for a shortage."""
        return self.rejected_share() >= REJECTED_SHARE

    def rejected_share(self, customer: str | None = None) -> float:
        """Return the share that replicas have rejected, other than of a customer."""
        sent = self.sent.total() - self.sent[customer]
        rejected = self.rejected.total() - self.rejected[customer]
        return rejected / max(1, sent, rejected)


class _Limit:
    """Limit of one customer; work that it has saved up or, if negative, overdrawn."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.saved = 0.0
        self.refilled_at = now
        self.return_at = now

    def refill(self, now: float) -> None:
        most = self.rate * SAVED_WORK_S
        added = (now - self.refilled_at) * self.rate
        self.saved = min(most, self.saved + added)
        self.refilled_at = now


class _Service:
    """Recent traffic of one service."""

    def __init__(self, second: int) -> None:
        self.second = second
        self.scarce_places = False
        self.current = _Second()
        self.past: deque[_Second] = deque(maxlen=EVIDENCE_S)
        self.usual: deque[_Second] = deque(maxlen=USUAL_S)
        self.short = False
        self.limits: dict[str, _Limit] = {}
        # Of the window as of the last whole second.
        self.shares: dict[str, float] = {}
        self.used: Counter[str] = Counter()
        self.expected_waits: dict[int, float] = {}

    @property
    def window(self) -> list[_Second]:
        """The last whole seconds."""
        return list(self.past)[-WINDOW_S:]

    @property
    def knows_usual(self) -> bool:
        """Whether enough requests were seen to know usual shares."""
        requests = sum(second.asked.total() for second in self.usual)
        return len(self.usual) == USUAL_S and requests >= MIN_USUAL_REQUESTS

    def learn_usual(self) -> None:
        """Learn from the second before the window, which is of no burst yet.

        During a shortage the shares from before it stay in force, if they are known: a
        burst that lasts must not become usual.
        """
        if len(self.past) <= WINDOW_S or (self.short and self.knows_usual):
            return
        second = self.past[-WINDOW_S - 1]
        if second.asked:
            self.usual.append(second)

    def count_shares(self) -> None:
        """Count what each customer used and may use as a share of the throughput."""
        window = self.window
        self.used = _total(second.used for second in window)
        asking = _total(second.demand for second in window)
        usual = _total(second.demand for second in self.usual)
        total = usual.total() or 1.0
        self.shares = {c: max(1 / len(asking), usual[c] / total) for c in asking}

    def count_waits(self) -> None:
        """Work out the expected wait of each priority, from the most urgent on."""
        waits: dict[int, list[float]] = {}
        for second in self.window:
            for priority, waited_s in second.waits:
                waits.setdefault(priority, []).append(waited_s)
        self.expected_waits = {}
        longest_s = 0.0
        for priority, times in sorted(waits.items()):
            if len(times) >= MIN_WAITS:
                short_s = sorted(times)[int(len(times) * SHORT_WAITS_SHARE)]
                longest_s = max(longest_s, short_s)
            self.expected_waits[priority] = longest_s

    def least_rate(self, customer: str) -> float:
        """Return the work per second below which a customer is never limited."""
        asked = _total(second.asked for second in self.window)
        admitted = _total(second.admitted for second in self.window)
        demand = sum(second.demand[customer] for second in self.window)
        overall = admitted.total() / max(1, asked.total())
        share = self.shares.get(customer, 0.0) * max(0.0, self.used.total())
        return max(share, MIN_SERVICE_SHARE * overall * demand) / WINDOW_S

    def is_over_share(self, customer: str) -> bool:
        """Return whether a customer uses well more than its share, beyond chance."""
        used = _total(second.used for second in self.past)
        squares = _total(second.used_squares for second in self.past)
        share = self.shares[customer]
        limit = share * (1 + OVER_SHARE * (1 - share))
        # Variance of what it uses beyond this part of the work of all.
        own = max(0.0, squares[customer])
        others = max(0.0, squares.total() - own)
        deviation = math.sqrt((1 - limit) ** 2 * own + limit**2 * others)
        return used[customer] - DEVIATIONS * deviation > limit * used.total()

    def is_most_urgent(self, customer: str, priority: int) -> bool:
        """Return whether a customer sends nothing that is more urgent."""
        asked = (key for second in self.window for key in second.asked)
        return all(p >= priority for name, p in asked if name == customer)


class ShortageControl:
    """Refuses the excess of customers, and hopeless requests, during a shortage.

    :param clock: measures rates.
    :param random_source: spreads the return of callers.
    :param places_per_gateway: returns the mean number of places that a replica of a
        service has for each gateway, infinite if it is not known.
    """

    def __init__(
        self,
        clock: Clock,
        random_source: random.Random,
        places_per_gateway: Callable[[str], float],
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._places_per_gateway = places_per_gateway
        self._services: dict[str, _Service] = {}
        self._changes: list[ShortageChange] = []

    def is_short(self, service: str) -> bool:
        """Return whether a service lacks capacity."""
        return self._current(service).short

    def take_changes(self) -> list[ShortageChange]:
        """Return what has changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def admit(
        self,
        service: str,
        customer: str,
        priority: int,
        work: float,
        remaining_s: float,
    ) -> Admission:
        """Decide about a request that was sent to no replica yet.

        :param customer: customer that sent it, empty on a public route, whose callers
            have no share.
        :param priority: 0 is the most urgent.
        :param work: expected work, in any one unit.
        :param remaining_s: time until its deadline, seconds.
        """
        state = self._current(service)
        if not state.scarce_places:
            return Admission()
        state.current.asked[customer, priority] += 1
        state.current.demand[customer] += work
        admission = Admission(short=state.short)
        if state.short:
            admission = self._decide(state, customer, priority, work, remaining_s)
        if admission.refusal is None:
            state.current.admitted[customer, priority] += 1
            if customer in state.limits:
                state.limits[customer].saved -= work
        return admission

    def record_sent(self, service: str, customer: str, work: float) -> None:
        """Record that an attempt is sent to a replica."""
        state = self._current(service)
        if state.scarce_places:
            state.current.sent[customer] += 1
            state.current.used[customer] += work
            state.current.used_squares[customer] += work * work

    def record_rejected(self, service: str, customer: str, work: float) -> None:
        """Record that a replica has rejected an attempt for lack of capacity."""
        state = self._current(service)
        if state.scarce_places:
            state.current.rejected[customer] += 1
            state.current.used[customer] -= work
            state.current.used_squares[customer] -= work * work

    def record_done(self, service: str, priority: int, waited_s: float) -> None:
        """Record that a request has begun at a replica, or ended without.

        :param waited_s: time since its arrival, seconds; infinite if it did not begin
            before its deadline.
        """
        state = self._current(service)
        if state.scarce_places:
            state.current.waits.append((priority, waited_s))

    def wake_key(
        self, service: str, customer: str, priority: int, deadline_at: float
    ) -> tuple[float, ...]:
        """Return the place of a waiting request; the lowest is woken first.

        :param deadline_at: end of its time on the clock, seconds.
        :returns: the same for all requests outside a shortage.
        """
        state = self._current(service)
        if not state.short:
            return ()
        used = state.used[customer] / state.shares.get(customer, 1.0)
        return (priority, used, deadline_at)

    def _decide(
        self,
        state: _Service,
        customer: str,
        priority: int,
        work: float,
        remaining_s: float,
    ) -> Admission:
        if sum(second.asked.total() for second in state.window) < MIN_REQUESTS:
            return Admission(short=True)
        refusal = self._refusal(state, customer, priority, remaining_s)
        if refusal is None:
            return Admission(short=True)
        if _gets_too_little(state, customer, priority):
            return Admission(short=True, kept=True)
        longest_s = min(MAX_RETRY_AFTER_S, remaining_s * RETRY_TIME_LEFT_SHARE)
        retry_after_s = longest_s * (1 - RETRY_SPREAD_SHARE * self._random.random())
        limit = state.limits.get(customer)
        if refusal is RefusalReason.CUSTOMER_OVER_SHARE and limit is not None:
            now = self._clock.monotonic()
            return_at = max(now, limit.return_at) + work / limit.rate
            limit.return_at = min(now + MAX_RETRY_AFTER_S, return_at)
            retry_after_s = min(retry_after_s, limit.return_at - now)
        retry_after_s = max(MIN_RETRY_AFTER_S, round(retry_after_s, 2))
        return Admission(refusal, retry_after_s, True)

    def _refusal(
        self, state: _Service, customer: str, priority: int, remaining_s: float
    ) -> RefusalReason | None:
        known = [p for p in state.expected_waits if p <= priority]
        if known and state.expected_waits[max(known)] > remaining_s:
            return RefusalReason.DEADLINE_UNMEETABLE
        limit = state.limits.get(customer)
        if limit is None:
            return None
        limit.refill(self._clock.monotonic())
        urgent = state.is_most_urgent(customer, priority)
        if limit.saved > (-limit.rate * SAVED_WORK_S if urgent else 0.0):
            return None
        return RefusalReason.CUSTOMER_OVER_SHARE

    def _current(self, service: str) -> _Service:
        """Return the state of a service, after the seconds that have ended."""
        second = int(self._clock.monotonic())
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service(second)
            state.scarce_places = self._places_per_gateway(service) < 1
        # After a longer time without requests, all of the past is empty.
        ended = min(second - state.second, EVIDENCE_S + 1)
        state.second = second
        for _ in range(ended):
            self._end_second(service, state)
        return state

    def _end_second(self, service: str, state: _Service) -> None:
        state.scarce_places = self._places_per_gateway(service) < 1
        ended, state.current = state.current, _Second()
        state.past.append(ended)
        state.learn_usual()
        state.count_shares()
        self._update_limits(service, state, ended)
        self._update_shortage(service, state)
        if state.short:
            state.count_waits()

    def _update_shortage(self, service: str, state: _Service) -> None:
        rejecting = sum(second.rejecting for second in state.window)
        if not state.scarce_places:
            state.limits.clear()
        short = state.scarce_places and (
            rejecting >= REJECTING_SECONDS
            or bool(state.short and (rejecting or state.limits))
        )
        if short == state.short:
            return
        state.short = short
        event = ShortageEvent.BEGAN if short else ShortageEvent.ENDED
        self._changes.append(ShortageChange(event, service))

    def _update_limits(self, service: str, state: _Service, ended: _Second) -> None:
        """Adapt the limits, and limit further customers."""
        for customer, limit in list(state.limits.items()):
            limit.refill(self._clock.monotonic())
            rejected_share = ended.rejected_share(customer)
            if rejected_share >= FALL_REJECTED_SHARE:
                least = state.least_rate(customer)
                limit.rate = max(least, limit.rate * LIMIT_FALL_FACTOR)
                continue
            limit.rate *= LIMIT_RISE_FACTOR
            demand = max(s.demand[customer] for s in state.window)
            if limit.rate >= demand:
                del state.limits[customer]
                event = ShortageEvent.CUSTOMER_LIMIT_ENDED
                self._changes.append(ShortageChange(event, service, customer))
        if not state.short or not state.knows_usual:
            return
        if sum(second.asked.total() for second in state.window) < MIN_REQUESTS:
            return
        for customer in sorted(state.shares.keys() - state.limits.keys()):
            if not customer:
                continue
            if ended.rejected_share(customer) < FALL_REJECTED_SHARE:
                continue
            if state.is_over_share(customer):
                self._limit(service, state, customer)

    def _limit(self, service: str, state: _Service, customer: str) -> None:
        """Limit a customer to what the requests of others leave."""
        demand = _total(second.demand for second in state.window)
        others = demand.total() - demand[customer]
        left = (state.used.total() - others) / WINDOW_S
        rate = max(left, state.least_rate(customer))
        if rate <= 0:
            return
        state.limits[customer] = _Limit(rate, self._clock.monotonic())
        event = ShortageEvent.CUSTOMER_LIMITED
        self._changes.append(ShortageChange(event, service, customer, rate))


def _gets_too_little(state: _Service, customer: str, priority: int) -> bool:
    """Return whether a customer or request type is admitted at too low a rate.

    A customer whose rate is too low gets its most urgent requests admitted first.
    """
    seconds = [*state.window, state.current]
    asked = _total(second.asked for second in seconds)
    admitted = _total(second.admitted for second in seconds)

    def rate(who: str | None, urgency: int | None) -> float:
        keys = [k for k in asked if who in (None, k[0]) and urgency in (None, k[1])]
        return sum(admitted[k] for k in keys) / sum(asked[k] for k in keys)

    own, least = rate(customer, None), MIN_SERVICE_SHARE * rate(None, None)
    if own < least and state.is_most_urgent(customer, priority):
        return True
    if rate(None, priority) < least:
        return True
    return rate(customer, priority) < MIN_SERVICE_SHARE * own


def _total(counters: Iterable[Counter[T]]) -> Counter[T]:
    total: Counter[T] = Counter()
    for counter in counters:
        for key, value in counter.items():
            total[key] += value
    return total
