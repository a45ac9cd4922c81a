"""Checks of BUDGET: attempts of a request, its time, and repeats of a service."""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import NamedTuple

from tests.soak.callers import KINDS, STREAMS
from tests.soak.fleet import BUDGET_WINDOW_S, service_of

# Requests that may run on more replicas than their route allows.
REQUESTS_OVER_ATTEMPTS = 3
# A time that is handed on may exceed what is left by this much.
TIME_SLACK_S = 0.5
REQUESTS_WITH_LONGER_TIME = 20
LONGER_TIME_SHARE = 0.2
SHOWN = 3


class Arrivals(NamedTuple):
    """What replicas saw, and what explains it.

    :param runs: runs by request.
    :param entries: lines of the replicas about arrivals, in the order in which they
        were read.
    :param max_attempts: replicas that a request may run on, by kind of request.
    :param retry_budget: allowed share of the requests, and number of repeats beside it.
    :param was_lost: whether a replica ended or was cut off in a span of time.
    :param in_touch: whether a gateway was in touch at a time.
    """

    runs: dict
    entries: list
    max_attempts: dict
    retry_budget: tuple[float, float]
    was_lost: Callable
    in_touch: Callable


class WindowUse(NamedTuple):
    """Repeats that a service got in a window.

    :param begin: time at which the window begins, seconds.
    :param repeats: arrivals beyond the first of each request.
    :param requests: requests that callers sent.
    :param allowed: repeats that are allowed.
    """

    begin: float
    repeats: int
    requests: int
    allowed: float

    @property
    def share(self):
        """Share of the allowed repeats that is used."""
        return self.repeats / self.allowed if self.allowed else float(self.repeats)


def budget_problems(callers, arrivals):
    """Return a line for each broken bound."""
    yield from _attempt_problems(callers, arrivals)
    yield from _time_problems(callers, arrivals)
    for service, use in largest_uses(callers, arrivals).items():
        if use.repeats > use.allowed:
            yield (
                f"BUDGET {service}: {use.repeats} repeats in {BUDGET_WINDOW_S} s from "
                f"{use.begin:.3f} on, for {use.requests} requests; "
                f"allowed {use.allowed:.0f}"
            )


def _attempt_problems(callers, arrivals):
    over = []
    for name, runs in arrivals.runs.items():
        sent, seen = callers.sent.get(name), callers.seen.get(name)
        if sent is None:
            continue
        until = seen.at if seen else max(run["time"] for run in runs)
        replicas = {
            replica
            for replica in (run["replica"] for run in runs)
            if not arrivals.was_lost(replica, sent.at, until)
        }
        if len(replicas) > arrivals.max_attempts[sent.kind]:
            over.append(f"{name} ({sent.kind}) by {sent.gateway} on {len(replicas)}")
    if len(over) > REQUESTS_OVER_ATTEMPTS:
        yield (
            f"BUDGET: {len(over)} requests ran on more replicas than their routes' "
            f"attempts: {', '.join(over[:SHOWN])}"
        )


def _time_problems(callers, arrivals):
    """Check the time that replicas were given for plain requests."""
    first, late_repeats, longer = {}, 0, []
    for entry in arrivals.entries:
        sent = callers.sent.get(entry["id"])
        if sent is None or sent.kind in STREAMS:
            continue
        if not arrivals.in_touch(sent.gateway, entry["time"]):
            continue
        deadline_s = KINDS[sent.kind][2]
        given_s = entry["deadline_s"]
        if given_s is None or given_s > deadline_s + TIME_SLACK_S:
            longer.append(f"{sent.name} with {given_s} of {deadline_s} s")
            continue
        ends_at = entry["time"] + given_s
        before = first.setdefault(entry["id"], entry)
        if entry["time"] <= before["time"] + TIME_SLACK_S:
            continue
        late_repeats += 1
        limit = max(before["time"] + before["deadline_s"], sent.at + deadline_s)
        if ends_at > limit + TIME_SLACK_S:
            longer.append(f"{sent.name} until {ends_at - limit:.2f} s later")
    if (
        len(longer) > REQUESTS_WITH_LONGER_TIME
        and len(longer) > LONGER_TIME_SHARE * late_repeats
    ):
        yield (
            f"BUDGET: {len(longer)} requests were handed on with more time than was "
            f"left, {late_repeats} were repeated late: {', '.join(longer[:SHOWN])}"
        )


def largest_uses(callers, arrivals):
    """Return the window with the largest share of its repeats used, by service."""
    ratio, extra = arrivals.retry_budget
    sent_at = defaultdict(list)
    for sent in callers.sent.values():
        sent_at[service_of(sent.kind)].append(sent.at)
    repeats, seen = defaultdict(list), Counter()
    for entry in arrivals.entries:
        sent = callers.sent.get(entry["id"])
        if sent is None:
            continue
        seen[entry["id"]] += 1
        if seen[entry["id"]] > 1:
            repeats[service_of(sent.kind)].append(entry["time"])
    uses = {}
    for service, times in repeats.items():
        times.sort()
        requests = sorted(sent_at[service])
        for number, begin in enumerate(times):
            count = bisect_left(times, begin + BUDGET_WINDOW_S) - number
            most = max(
                _count_from(requests, begin - before)
                for before in (0.0, BUDGET_WINDOW_S / 2, BUDGET_WINDOW_S)
            )
            use = WindowUse(begin, count, most, ratio * most + extra)
            if service not in uses or use.share > uses[service].share:
                uses[service] = use
    return uses


def _count_from(times, begin):
    return bisect_left(times, begin + BUDGET_WINDOW_S) - bisect_left(times, begin)
