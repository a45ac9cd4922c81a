"""What nodes tell one another of crashes under the causes that requests bear."""

from __future__ import annotations

import functools
import hashlib
import math
import re
from typing import NamedTuple

# A blamed cause has more crashes than this for each answer.
CRASHES_PER_ANSWER = 4
# Longest time between crashes that follow one another, and the time for which a cause
# that is not blamed is suspected after a crash.
SUSPECT_S = 60.0
# Time for which a blamed cause is kept after a request with it was last seen.
BLAME_QUIET_S = 60.0
MAX_CRASH_AGE_S = 1_200.0
MAX_CRASHES = 8  # of one cause, the newest
# To one cause, the newest; as many clear it of all its crashes.
MAX_ANSWERS = MAX_CRASHES // CRASHES_PER_ANSWER
MAX_ANSWERED_BEFORE = 1_000
MAX_POSITION = 1_000
# Position that stands for the whole request.
WHOLE_REQUEST_POSITION = MAX_POSITION
MAX_RANK = 1_000
# Digests of names that are kept, so that they are worked out once.
MAX_CACHED_DIGESTS = 4_096

_CAUSE_DIGEST = re.compile(r"[0-9a-f]{16}\Z")
_SHORT_DIGEST = re.compile(r"[0-9a-f]{8}\Z")


class CrashNews(NamedTuple):
    """Crash of a replica as it began an answer to a request with a cause.

    :param replica: digest of the replica's name, 8 hexadecimal digits.
    :param rank: 1, or one more than the highest rank of the crashes after which the
        request was sent. The node that saw the crash counts it: nodes' times differ by
        more than some crashes are apart.
    :param age_s: time since its connection ended, seconds.
    """

    replica: str
    rank: int
    age_s: float


class AnswerNews(NamedTuple):
    """Answer to a request with a cause.

    :param request: digest of the request's identifier, 8 hexadecimal digits.
    :param age_s: time since the answer, seconds.
    """

    request: str
    age_s: float


class CauseNews(NamedTuple):
    """What one node tells others of a cause.

    :param cause: digest of the cause, 16 hexadecimal digits.
    :param position: place of the part in prompts, from 0; the last one where it varies;
        :data:`WHOLE_REQUEST_POSITION` for a whole request.
    :param crashes: the newest crashes.
    :param answers: the newest answers since the first crash.
    :param answered_before: most answers that one node has got in the time before.
    :param seen_age_s: time since a request with the cause was last seen, seconds.
    """

    cause: str
    position: int
    crashes: tuple[CrashNews, ...]
    answers: tuple[AnswerNews, ...]
    answered_before: int
    seen_age_s: float

    @property
    def settled(self) -> bool:
        """Whether the cause is cleared of all crashes told, by any answers."""
        crash_age_s = min((crash.age_s for crash in self.crashes), default=0.0)
        since = sum(answer.age_s < crash_age_s for answer in self.answers)
        return since >= MAX_ANSWERS


def is_sound(news: CauseNews) -> bool:
    """Return whether news can be true."""
    ages = (
        news.seen_age_s,
        *(crash.age_s for crash in news.crashes),
        *(answer.age_s for answer in news.answers),
    )
    digests = (
        *(crash.replica for crash in news.crashes),
        *(answer.request for answer in news.answers),
    )
    return (
        _CAUSE_DIGEST.match(news.cause) is not None
        and all(_SHORT_DIGEST.match(digest) for digest in digests)
        and all(math.isfinite(age) and age >= 0 for age in ages)
        and all(1 <= crash.rank <= MAX_RANK for crash in news.crashes)
        and 0 < len(news.crashes) <= MAX_CRASHES
        and len(news.answers) <= MAX_ANSWERS
        and 0 <= news.answered_before <= MAX_ANSWERED_BEFORE
        and 0 <= news.position <= MAX_POSITION
    )


def is_recent(news: CauseNews) -> bool:
    """Return whether news is still of interest."""
    ages = [crash.age_s for crash in news.crashes]
    if max(ages) > MAX_CRASH_AGE_S:
        return False
    return min(ages) <= SUSPECT_S or news.seen_age_s <= BLAME_QUIET_S


@functools.lru_cache(maxsize=MAX_CACHED_DIGESTS)
def part_digest(name: str) -> str:
    """Return the digest under which nodes tell of a part of prompts.

    :param name: name of the part.
    """
    return hashlib.blake2b(name.encode(), digest_size=8).hexdigest()


def short_digest(name: str) -> str:
    """Return the digest of a replica's name or a request's identifier in news."""
    return hashlib.blake2b(name.encode(), digest_size=4).hexdigest()
