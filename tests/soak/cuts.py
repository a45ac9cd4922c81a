"""Answers cut midway, some without length and chunks, and a check of the streams."""

from tests.soak.callers import KINDS
from tests.soak.plan import Plan

MIX = {"once": 2, "safe": 3, "stream": 5, "tail": 1, "long": 4}
UNFRAMED_SHARE = 0.3
# Of the events of a stream.
CUT_SHARES = (0.01, 0.08)
RESUMABLE = ("stream", "long")
MAX_ATTEMPTS = 3
USED_SHARE = 0.7


class CutPlan(Plan):
    """Answers cut midway, beside planned work.

    Replicas do not end: an answer without length and chunks would look whole if its
    process ended between two events.
    """

    def __init__(self, fleet, keys, random, log):
        super().__init__(fleet, keys, random, log)
        fleet.unframed_share = UNFRAMED_SHARE
        self._has_lasting_routes = True
        self._actions = {
            self.break_replicas: 6,
            self.change_config: 2,
            self.reload_settings: 1,
        }

    def _draw_faults(self):
        return {"cut": self._random.uniform(*CUT_SHARES)}


def cut_problems(callers, runs, is_disturbed):
    """Return a line for each stream that could have been resumed, but ended cut.

    :param runs: runs by request.
    :param is_disturbed: whether one of some subjects was disturbed in a span of time.
    """
    for name, seen in callers.seen.items():
        sent, ran = callers.sent[name], runs.get(name, [])
        if sent.kind not in RESUMABLE or seen.status != 200 or seen.complete:
            continue
        used_s, has_s = seen.at - sent.at, KINDS[sent.kind][2]
        if len(ran) >= MAX_ATTEMPTS or used_s >= USED_SHARE * has_s:
            continue
        replicas = [run["replica"] for run in ran]
        where = ", ".join(replicas)
        if not is_disturbed({sent.gateway, *replicas}, sent.at, seen.at):
            yield (
                f"LOST {name} ({sent.kind}) by {sent.gateway}: cut at {seen.at:.3f} "
                f"after {len(seen.body)} bytes and {used_s:.2f} of {has_s:.0f} s, "
                f"though it may be resumed; runs: {where}"
            )
