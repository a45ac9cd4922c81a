"""Quotas in layers: customer, user, request tree and upstream."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import RefusalReason

from .catalog import Customer

MAX_ENTRIES = 20_000
DEFAULT_USER_SHARE = 0.5


class TokenBucket:
    """Bucket that refills at a rate up to a burst.

    :param rate: tokens a second.
    :param burst: most tokens held.
    :param now: time at creation, seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._at = now

    @property
    def level(self) -> float:
        """Tokens held at the last call."""
        return self._level

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; what is held above the burst is lost."""
        self.refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def refill(self, now: float) -> None:
        """Add what the time since the last call has brought."""
        elapsed = max(0.0, now - self._at)
        self._level = min(self._burst, self._level + self._rate * elapsed)
        self._at = max(now, self._at)

    def wait_s(self, tokens: float) -> float | None:
        """Return seconds until so many tokens are held, None for never."""
        if tokens > self._burst or self._rate <= 0:
            return None
        return max(0.0, (tokens - self._level) / self._rate)

    def take(self, tokens: float) -> None:
        """Take tokens; a negative number gives back."""
        self._level = min(self._burst, self._level - tokens)


class Reservation(NamedTuple):
    """Tokens set aside for a request at its worst case.

    :param tokens: tokens reserved.
    :param customer: name of the customer.
    :param user: identifier of its user, empty for none.
    :param tree: identifier of the request tree.
    """

    tokens: int
    customer: str
    user: str
    tree: str


class QuotaLimiter:
    """Reserves the worst case in every layer before dispatch.

    :param clock: refills the buckets.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: OrderedDict[tuple[str, str], TokenBucket] = OrderedDict()
        self._trees: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._shares: dict[str, float] = {}
        self._default_share = 0.0
        self._asked: dict[str, float] = {}
        self._asked_since = clock.monotonic()

    def set_shares(self, default: float, shares: dict[str, float]) -> None:
        """Set this node's part of each customer's quota.

        :param default: part of customers that are not named, 0 to 1.
        :param shares: part by customer, 0 to 1.
        """
        self._default_share = default
        self._shares = dict(shares)

    def share(self, customer: str) -> float:
        """Return this node's part of a customer's quota, 0 to 1."""
        return self._shares.get(customer, self._default_share)

    def take_demand(self) -> dict[str, float]:
        """Return tokens a second asked for since the last call, by customer."""
        now = self._clock.monotonic()
        elapsed = max(1.0, now - self._asked_since)
        asked, self._asked, self._asked_since = self._asked, {}, now
        return {name: tokens / elapsed for name, tokens in asked.items()}

    def reserve(
        self, customer: Customer, user: str, tree: str, tokens: int
    ) -> Reservation:
        """Set tokens aside in every layer, or in none.

        :param customer: who asks.
        :param user: identifier of its user, empty for none.
        :param tree: identifier of the request tree.
        :param tokens: worst case of prompt and answer.
        :raises RefusalError: ``quota_customer``, ``quota_user`` or
            ``quota_tree``, with the time to ask again.
        """
        reservation = Reservation(tokens, customer.name, user, tree)
        quota = customer.record.get("quota")
        if quota is None:
            return reservation
        self._asked[customer.name] = self._asked.get(customer.name, 0.0) + tokens
        self._check_tree(reservation, quota.get("tree_tokens"))
        buckets = [(RefusalReason.QUOTA_CUSTOMER, self._customer_bucket(customer))]
        if user:
            buckets.append(
                (RefusalReason.QUOTA_USER, self._user_bucket(customer, user))
            )
        for reason, bucket in buckets:
            wait_s = bucket.wait_s(tokens)
            if wait_s != 0.0:
                raise RefusalError(reason, detail=_advice(tokens), retry_after_s=wait_s)
        for _, bucket in buckets:
            bucket.take(tokens)
        key = (customer.name, tree)
        self._trees[key] = self._trees.get(key, 0) + tokens
        _trim(self._trees)
        return reservation

    def settle(self, reservation: Reservation, used: int) -> None:
        """Give back what a finished request did not use.

        :param reservation: what was set aside.
        :param used: tokens that ran, of prompts and answers.
        """
        unused = reservation.tokens - used
        for user in {"", reservation.user}:
            bucket = self._buckets.get((reservation.customer, user))
            if bucket is not None:
                bucket.take(-unused)
        key = (reservation.customer, reservation.tree)
        if key in self._trees:
            self._trees[key] -= unused

    def _check_tree(self, reservation: Reservation, limit: int | None) -> None:
        key = (reservation.customer, reservation.tree)
        spent = self._trees.get(key, 0)
        if limit is None or spent + reservation.tokens <= limit:
            return
        raise RefusalError(
            RefusalReason.QUOTA_TREE,
            detail=f"request tree has {max(0, limit - spent)} tokens left of {limit}; "
            "narrow the plan or ask for a shorter answer",
        )

    def _customer_bucket(self, customer: Customer) -> TokenBucket:
        share = self.share(customer.name)
        return self._bucket(customer, "", share)

    def _user_bucket(self, customer: Customer, user: str) -> TokenBucket:
        quota = customer.record["quota"]
        share = self.share(customer.name) * quota.get("user_share", DEFAULT_USER_SHARE)
        return self._bucket(customer, user, share)

    def _bucket(self, customer: Customer, user: str, share: float) -> TokenBucket:
        quota = customer.record["quota"]
        rate, burst = quota["tokens_per_s"] * share, quota["burst_tokens"] * share
        now = self._clock.monotonic()
        key = (customer.name, user)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(rate, burst, now)
            _trim(self._buckets)
        bucket.resize(rate, burst, now)
        self._buckets.move_to_end(key)
        return bucket


def _advice(tokens: int) -> str:
    return f"{tokens} tokens are not available now; send fewer requests at once"


def _trim(entries: OrderedDict) -> None:
    if len(entries) > MAX_ENTRIES:
        entries.popitem(last=False)
