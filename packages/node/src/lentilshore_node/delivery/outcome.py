"""Result of a request."""

from __future__ import annotations

from typing import NamedTuple

from lentilshore_routing.placement import ReplicaLease


class Outcome(NamedTuple):
    """Result of a request, for logs and metrics.

    :param status: status that the caller got.
    :param attempts: number of times that the request was sent to a replica.
    :param lease: the last replica, with its load when it was chosen.
    :param version: version of that replica.
    :param model: the last model used, empty where the route names none.
    :param first_s: time to the answer or its first event, seconds.
    :param total_s: time to the end of the answer, seconds.
    """

    status: int
    attempts: int
    lease: ReplicaLease | None
    version: str
    model: str
    first_s: float
    total_s: float
