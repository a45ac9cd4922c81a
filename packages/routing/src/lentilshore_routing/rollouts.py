"""Safeguards of roll-outs: a sequential test and a budget of answers not yet rated.

The test is a mixture of likelihood ratios against the base version's rate of bad
outcomes. Such a mixture is a non-negative martingale when the candidate is no worse,
so that by Ville's inequality the probability that it ever exceeds 1 / alpha is at
most alpha, however often it is evaluated.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple, TypedDict

# Bounds the probability that a roll-out of a good version is ever halted.
FALSE_HALT_RATE = 0.01
# Splits that probability among the signals.
FALSE_HALT_RATE_SHARES: Mapping[str, float] = {
    "rating": 0.8,
    "error": 0.1,
    "latency": 0.1,
}
# Increases of the base's rate of bad outcomes that the mixture tests for.
TESTED_RATE_INCREASES = (0.03, 0.06, 0.12, 0.25, 0.5)
# Weight of all customers together in the mixture; the rest is split evenly among
# single customers.
POOLED_WEIGHT = 0.6
# Outcomes added to those of a base version when its rate of bad outcomes is
# estimated.
BASE_PRIOR_BAD = 1.0
BASE_PRIOR_TOTAL = 10.0
# Shrinks a customer's base rate towards the pooled one by the weight of this many
# outcomes.
CUSTOMER_PRIOR_TOTAL = 50.0
BASE_RATE_STANDARD_ERRORS = 1.0
MIN_RATE = 0.002
MAX_RATE = 0.95
# Share of an exposure budget that new sessions may use; the rest is left to sessions
# that are pinned to the candidate already.
NEW_SESSION_BUDGET_SHARE = 0.6
# Ratings of the candidate needed to leave the first stage; doubles with each further
# stage.
FIRST_STAGE_MIN_RATINGS = 30


class Tally(NamedTuple):
    """Counts of the outcomes of one signal.

    :param bad: number of bad outcomes.
    :param total: number of all outcomes.
    """

    bad: int = 0
    total: int = 0

    def add(self, bad: bool) -> Tally:
        """Return the tally with one more outcome."""
        return Tally(self.bad + bad, self.total + 1)


class Evidence(TypedDict):
    """Tallies of one version, by signal and customer.

    Keys are ``signal/customer``.
    """

    tallies: dict[str, tuple[int, int]]


class Verdict(NamedTuple):
    """Result of the test of a candidate.

    :param halt: whether the roll-out must be halted.
    :param signal: the signal with the strongest evidence.
    :param customer: the customer with the strongest evidence, empty if it comes from
        all customers together.
    :param log_evidence: natural logarithm of the evidence.
    :param log_threshold: log evidence from which on the roll-out is halted.
    """

    halt: bool
    signal: str
    customer: str
    log_evidence: float
    log_threshold: float

    def explain(self) -> str:
        """Return a description of the result for log lines and operators."""
        scope = f"customer {self.customer}" if self.customer else "all customers"
        return (
            f"{self.signal} of {scope}: log evidence {self.log_evidence:.2f}, "
            f"threshold {self.log_threshold:.2f}"
        )


class OutcomeTallies:
    """Tallies of versions by signal and customer, of one node or of several."""

    def __init__(self) -> None:
        self._tallies: dict[str, dict[tuple[str, str], Tally]] = {}

    def add(self, version: str, signal: str, customer: str, bad: bool) -> None:
        """Count an outcome.

        :param version: name of the version.
        :param signal: ``rating``, ``error`` or ``latency``.
        :param customer: name of the customer.
        :param bad: whether the outcome is bad.
        """
        tallies = self._tallies.setdefault(version, {})
        key = (signal, customer)
        tallies[key] = tallies.get(key, Tally()).add(bad)

    def merge(self, version: str, evidence: Evidence) -> None:
        """Add tallies of a version, such as those of another node."""
        tallies = self._tallies.setdefault(version, {})
        for name, (bad, total) in evidence["tallies"].items():
            signal, _, customer = name.partition("/")
            known = tallies.get((signal, customer), Tally())
            tallies[signal, customer] = Tally(known.bad + bad, known.total + total)

    def export(self, version: str) -> Evidence:
        """Return the tallies of a version."""
        tallies = self._tallies.get(version, {})
        return Evidence(
            tallies={f"{s}/{c}": (t.bad, t.total) for (s, c), t in tallies.items()}
        )

    def versions(self) -> list[str]:
        """Return the versions that have tallies, sorted."""
        return sorted(self._tallies)

    def tally(self, version: str, signal: str, customer: str = "") -> Tally:
        """Return the tally of a signal.

        :param version: name of the version.
        :param signal: ``rating``, ``error`` or ``latency``.
        :param customer: name of the customer, empty for all customers together.
        """
        matching = [
            tally
            for (name, owner), tally in self._tallies.get(version, {}).items()
            if name == signal and customer in ("", owner)
        ]
        return Tally(sum(t.bad for t in matching), sum(t.total for t in matching))

    def customers(self, version: str, signal: str) -> list[str]:
        """Return the customers that have outcomes of a signal, sorted."""
        return sorted(c for s, c in self._tallies.get(version, {}) if s == signal)


def evaluate_candidate(outcomes: OutcomeTallies, base: str, candidate: str) -> Verdict:
    """Test a candidate against its base on every signal.

    :param outcomes: outcomes of both versions.
    :param base: name of the base version.
    :param candidate: name of the candidate.
    :returns: the verdict of the signal that comes closest to its threshold, or
        exceeds it by most.
    """
    verdicts = [
        _evaluate_signal(outcomes, base, candidate, signal, share)
        for signal, share in FALSE_HALT_RATE_SHARES.items()
    ]
    return max(verdicts, key=lambda v: v.log_evidence - v.log_threshold)


def log_mixture_ratio(tally: Tally, base_rate: float) -> float:
    """Return the logarithm of the mean likelihood ratio of rates above the base's.

    :param tally: outcomes of the candidate.
    :param base_rate: rate of bad outcomes if the candidate is no worse, 0 to 1.
    """
    rates = sorted({min(MAX_RATE, base_rate + x) for x in TESTED_RATE_INCREASES})
    rates = [rate for rate in rates if rate > base_rate]
    if not rates:
        return 0.0
    good = tally.total - tally.bad
    terms = [
        tally.bad * math.log(rate / base_rate)
        + good * math.log((1 - rate) / (1 - base_rate))
        for rate in rates
    ]
    return _log_mean(terms)


def base_rate(tally: Tally) -> float:
    """Return an upper estimate of a base version's rate of bad outcomes, above 0."""
    rate = (tally.bad + BASE_PRIOR_BAD) / (tally.total + BASE_PRIOR_TOTAL)
    return _upper_bound(rate, tally.total + BASE_PRIOR_TOTAL)


def excess_p_value(candidate: Tally, base: Tally) -> float:
    """Return the one-sided p-value of a candidate's bad outcomes.

    It is the probability of at least as many bad outcomes if the candidate is no
    worse. Given the bad outcomes of both versions together, the candidate's part of
    them is then binomial, in proportion to the totals, so that the base's rate need
    not be known.
    """
    if candidate.total <= 0 or base.total <= 0:
        return 1.0
    bad = candidate.bad + base.bad
    log_share = math.log(candidate.total / (candidate.total + base.total))
    log_rest = math.log(base.total / (candidate.total + base.total))
    # In logarithms, since the binomial coefficients of many failures overflow.
    log_terms = [
        _log_binomial(bad, n) + n * log_share + (bad - n) * log_rest
        for n in range(candidate.bad, bad + 1)
    ]
    return min(1.0, math.exp(_log_sum(log_terms)))


def _log_binomial(total: int, chosen: int) -> float:
    return (
        math.lgamma(total + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(total - chosen + 1)
    )


def _evaluate_signal(
    outcomes: OutcomeTallies,
    base: str,
    candidate: str,
    signal: str,
    false_halt_share: float,
) -> Verdict:
    threshold = math.log(1 / (FALSE_HALT_RATE * false_halt_share))
    pooled_base_rate = base_rate(outcomes.tally(base, signal))
    pooled_log_ratio = log_mixture_ratio(
        outcomes.tally(candidate, signal), pooled_base_rate
    )
    log_ratio_by_customer = {}
    for customer in outcomes.customers(candidate, signal):
        base_tally = outcomes.tally(base, signal, customer)
        customer_base_rate = _shrunk_rate(base_tally, pooled_base_rate)
        tally = outcomes.tally(candidate, signal, customer)
        log_ratio_by_customer[customer] = log_mixture_ratio(tally, customer_base_rate)
    strongest = max(
        log_ratio_by_customer, key=lambda name: log_ratio_by_customer[name], default=""
    )
    terms = [math.log(POOLED_WEIGHT) + pooled_log_ratio]
    if log_ratio_by_customer:
        log_weight = math.log((1 - POOLED_WEIGHT) / len(log_ratio_by_customer))
        terms += [log_weight + value for value in log_ratio_by_customer.values()]
    log_evidence = _log_sum(terms)
    main_customer = (
        strongest
        if log_ratio_by_customer
        and log_ratio_by_customer[strongest] > pooled_log_ratio + 1.0
        else ""
    )
    return Verdict(
        log_evidence >= threshold, signal, main_customer, log_evidence, threshold
    )


def _shrunk_rate(tally: Tally, pooled_base_rate: float) -> float:
    """Return a customer's base rate, shrunk towards that of all customers."""
    total = tally.total + CUSTOMER_PRIOR_TOTAL
    rate = (tally.bad + CUSTOMER_PRIOR_TOTAL * pooled_base_rate) / total
    return _upper_bound(rate, total)


def _upper_bound(rate: float, total: float) -> float:
    """Return a rate raised by its standard error, so that noise causes no halt."""
    rate = min(max(rate, MIN_RATE), MAX_RATE)
    standard_error = math.sqrt(rate * (1 - rate) / max(1.0, total))
    return min(rate + BASE_RATE_STANDARD_ERRORS * standard_error, MAX_RATE)


def _log_sum(terms: list[float]) -> float:
    top = max(terms)
    return top + math.log(sum(math.exp(term - top) for term in terms))


def _log_mean(terms: list[float]) -> float:
    return _log_sum(terms) - math.log(len(terms))


class ExposureBudget:
    """Limits the answers of candidates on one node that are not rated yet."""

    def __init__(self) -> None:
        self._limits: dict[str, int] = {}
        self._version_by_request: OrderedDict[str, str] = OrderedDict()
        self._unrated_counts: dict[str, int] = {}

    def set_limits(self, limits: Mapping[str, int]) -> None:
        """Set this node's share of each candidate's budget.

        :param limits: maximum number of answers that are not rated yet, by version.
        """
        self._limits = dict(limits)

    def admit(self, version: str, request_id: str, pinned: bool) -> bool:
        """Count a request to a candidate if the budget allows it.

        :param version: the candidate.
        :param request_id: identifier of the request.
        :param pinned: whether its session is already pinned to the candidate. New
            sessions leave a share of the budget to pinned ones.
        :returns: False if the budget is exhausted.
        """
        limit = self._limits.get(version)
        if limit is None:
            return True
        usable = limit if pinned else max(1, int(limit * NEW_SESSION_BUDGET_SHARE))
        if limit == 0 or self._unrated_counts.get(version, 0) >= usable:
            return False
        self._version_by_request[request_id] = version
        self._unrated_counts[version] = self._unrated_counts.get(version, 0) + 1
        return True

    def release(self, request_id: str) -> None:
        """Release the budget of a request that was rated or did not run."""
        version = self._version_by_request.pop(request_id, None)
        if version is not None:
            self._unrated_counts[version] -= 1

    def unrated_count(self, version: str) -> int:
        """Return the number of a candidate's answers that are not rated yet."""
        return self._unrated_counts.get(version, 0)


def split_budget(budget: int, node_count: int, rank: int) -> int:
    """Return a node's share of a fleet-wide budget; the shares sum to the budget.

    :param budget: budget of the whole fleet.
    :param node_count: number of nodes.
    :param rank: rank of the node, from 0.
    """
    share, remainder = divmod(budget, node_count)
    return share + (rank < remainder)


def next_stage(
    outcomes: OutcomeTallies, base: str, candidate: str, stage: int, stage_count: int
) -> int:
    """Return the stage that a healthy roll-out may advance to.

    :param outcomes: outcomes of both versions.
    :param base: name of the base version.
    :param candidate: name of the candidate.
    :param stage: current stage, from 0.
    :param stage_count: number of stages.
    :returns: the current stage while there are too few ratings or the test halts,
        otherwise the next; ``stage_count`` once all are passed.
    """
    rating_count = outcomes.tally(candidate, "rating").total
    required = FIRST_STAGE_MIN_RATINGS * 2**stage
    if rating_count < required or evaluate_candidate(outcomes, base, candidate).halt:
        return stage
    return min(stage + 1, stage_count)
