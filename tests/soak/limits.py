"""Check of LIMIT: what a replica that named a limit got from all gateways together."""

import math
from bisect import bisect_left
from collections import defaultdict, deque
from itertools import groupby

from tests.limited_replicas import FACTOR, SLACK_REQUESTS, TOLD_AFTER_S, WINDOW_S

# A replica's limit has to be kept from this time after it was first named.
STABILITY_S = 3.0


def limit_problems(entries, gateway_of, ends, is_disturbed):
    """Return a line for each limit that was exceeded.

    :param entries: lines of the replicas, in order of time: arrivals of requests and
        answers that named the limit.
    :param gateway_of: name of the gateway by request.
    :param ends: times at which gateways ended, by name.
    :param is_disturbed: whether one of some subjects was disturbed in a span of time.
    """
    by_process = defaultdict(list)
    for entry in entries:
        by_process[entry["replica"], entry["born"]].append(entry)
    for (replica, _), lines in by_process.items():
        for limit, named in groupby(lines, key=lambda line: line["limit"]):
            if limit is not None:
                check = _LimitCheck(replica, limit, gateway_of, ends, is_disturbed)
                yield from check.problems(list(named))


class _LimitCheck:
    def __init__(self, replica, limit, gateway_of, ends, is_disturbed):
        self._replica = replica
        self._limit = limit
        self._gateway_of = gateway_of
        self._ends = ends
        self._is_disturbed = is_disturbed
        self._told = defaultdict(list)

    def problems(self, lines):
        told = [line for line in lines if line["event"] == "told"]
        if not told:
            return
        from_s = told[0]["time"] + STABILITY_S
        allowed = math.ceil(FACTOR * WINDOW_S * self._limit + SLACK_REQUESTS)
        window = deque()
        for line in lines:
            gateway = self._gateway_of(line["id"])
            if line["event"] == "told":
                self._told[gateway].append(line["time"])
                continue
            if line["time"] < from_s or not self._counts(gateway, line["time"]):
                continue
            window.append(line["time"])
            while window[0] <= line["time"] - WINDOW_S:
                window.popleft()
            if len(window) > allowed:
                yield (
                    f"LIMIT {self._replica}: {len(window)} requests in 4 s to "
                    f"{line['time']:.3f}, limit {self._limit}, allowed {allowed}"
                )
                return

    def _counts(self, gateway, at):
        """Return whether the gateway's process knew of the limit, undisturbed."""
        subjects = {gateway, self._replica}
        if self._is_disturbed(subjects, at - WINDOW_S, at):
            return False
        ends = self._ends.get(gateway, [])
        index = bisect_left(ends, at)
        begun = ends[index - 1] if index else 0.0
        told = [time for time in self._told[gateway] if time > begun]
        return bool(told) and told[0] <= at - TOLD_AFTER_S
