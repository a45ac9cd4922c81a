"""Replicas of an upstream, their groups, and the hash ring over each group."""

from __future__ import annotations

import bisect
import hashlib
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from lentilshore_kernel.types import Address

# A node chooses its random candidates among at most this many replicas of a group.
SUBSET_SIZE = 24
RING_POINTS_PER_REPLICA = 16
MIN_PREFIX_TOKENS = 128


class Replica(NamedTuple):
    """One process of an upstream.

    :param name: name of the instance.
    :param kind: upstream plug-in, such as ``engine`` or ``service``.
    :param address: address that it listens at.
    :param data_centre: data centre that it runs in.
    :param groups: versions or services that it serves.
    :param draining: whether it takes no new requests.
    :param identity: identifier that the process itself uses, empty if it is the name.
    :param places: requests that it runs at once, 0 if not known.
    """

    name: str
    kind: str
    address: Address
    data_centre: str
    groups: tuple[str, ...]
    draining: bool = False
    identity: str = ""
    places: int = 0


class ReplicaGroup:
    """Replicas of one version or service, and the hash ring over them."""

    def __init__(self, replicas: Sequence[Replica], subset: Sequence[Replica]) -> None:
        self.replicas = replicas
        self.subset = subset
        # Places of the largest replica; 0 if those of any are not known.
        places = [replica.places for replica in replicas]
        self.max_places = max(places) if places and all(places) else 0
        self._by_name = {replica.name: replica for replica in replicas}
        points = sorted(
            (_hash(f"{replica.name}/{point}"), index)
            for index, replica in enumerate(replicas)
            for point in range(RING_POINTS_PER_REPLICA)
        )
        self._keys = [key for key, _ in points]
        self._indexes = [index for _, index in points]

    def named(self, names: Iterable[str]) -> list[Replica]:
        """Return the replicas of the group that have one of these names."""
        return [self._by_name[name] for name in names if name in self._by_name]

    def ring_successors(self, prefix: str, count: int) -> list[Replica]:
        """Return the first distinct replicas that follow a prefix on the ring."""
        start = bisect.bisect(self._keys, _hash(prefix))
        successors: list[int] = []
        for step in range(len(self._indexes)):
            index = self._indexes[(start + step) % len(self._indexes)]
            if index not in successors:
                successors.append(index)
            if len(successors) == count:
                break
        return [self.replicas[index] for index in successors]


def choose_subset(
    nodes: Sequence[str], node: str, replicas: Sequence[Replica]
) -> list[Replica]:
    """Return the subset of the replicas that a node uses.

    Deterministic subsetting: nodes are grouped into rounds. The nodes of a round divide
    the replicas among them, in an order shuffled for that round, so that each replica
    is in about as many subsets as any other. Few replicas are all used by every node.

    :param nodes: names of all nodes, sorted.
    :param node: name of the node, one of them.
    :param replicas: all replicas, sorted.
    """
    if len(replicas) <= SUBSET_SIZE:
        return list(replicas)
    subset_count = len(replicas) // SUBSET_SIZE
    rank = list(nodes).index(node)
    shuffled = list(replicas)
    random.Random(rank // subset_count).shuffle(shuffled)
    start = (rank % subset_count) * SUBSET_SIZE
    return shuffled[start : start + SUBSET_SIZE]


def prefix_hash(text: str, tokens: int) -> str:
    """Return the hash of a prompt's shared prefix.

    :param text: the text that later prompts may begin with.
    :param tokens: length of the text, tokens.
    :returns: empty if the text is shorter than :data:`MIN_PREFIX_TOKENS`.
    """
    if tokens < MIN_PREFIX_TOKENS:
        return ""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
