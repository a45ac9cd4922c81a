"""Token quotas in layers: customer, user and request tree.

A request tree is a set of requests for which the caller sends the same tree identifier.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from lentilshore_kernel.clock import Clock
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import RefusalReason

from .catalog import Customer

# Limits the buckets and, separately, the request trees that a node remembers.
MAX_ENTRIES = 20_000
DEFAULT_USER_SHARE = 0.5


class TokenBucket:
    """Token bucket that refills at a constant rate up to a burst size.

    :param rate: tokens per second.
    :param burst: maximum number of tokens in the bucket.
    :param now: time at creation, seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._refilled_at = now

    @property
    def level(self) -> float:
        """Tokens in the bucket at the last refill or withdrawal."""
        return self._level

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst; tokens above the new burst are discarded."""
        self.refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last refill."""
        elapsed = max(0.0, now - self._refilled_at)
        self._level = min(self._burst, self._level + self._rate * elapsed)
        self._refilled_at = max(now, self._refilled_at)

    def wait_s(self, tokens: float) -> float | None:
        """Return the seconds until a number of tokens is available, None for never."""
        if tokens > self._burst or self._rate <= 0:
            return None
        return max(0.0, (tokens - self._level) / self._rate)

    def take(self, tokens: float) -> None:
        """Take tokens; a negative number returns them."""
        self._level = min(self._burst, self._level - tokens)


class Reservation(NamedTuple):
    """Tokens reserved for the worst case of a request.

    :param tokens: number of tokens reserved.
    :param customer: name of the customer.
    :param user: identifier of the customer's user, empty for none.
    :param tree_id: identifier of the request tree.
    """

    tokens: int
    customer: str
    user: str
    tree_id: str


class QuotaLimiter:
    """Reserves in every layer, before dispatch, the tokens that a request may need.

    :param clock: clock by which the buckets refill.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By customer and user; the empty user stands for the customer's own bucket.
        self._buckets: OrderedDict[tuple[str, str], TokenBucket] = OrderedDict()
        # By customer and tree; used or reserved tokens.
        self._tokens_by_tree: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._shares: dict[str, float] = {}
        self._default_share = 0.0
        self._requested_tokens: dict[str, float] = {}
        self._requested_since = clock.monotonic()

    def set_shares(self, default: float, shares: dict[str, float]) -> None:
        """Set this node's share of each customer's quota.

        :param default: share for customers that are not named, 0 to 1.
        :param shares: share by customer, 0 to 1.
        """
        self._default_share = default
        self._shares = dict(shares)

    def share(self, customer: str) -> float:
        """Return this node's share of a customer's quota, 0 to 1."""
        return self._shares.get(customer, self._default_share)

    def collect_demand(self) -> dict[str, float]:
        """Return the tokens per second requested since the last call, by customer."""
        now = self._clock.monotonic()
        elapsed = max(1.0, now - self._requested_since)
        requested, self._requested_tokens, self._requested_since = (
            self._requested_tokens,
            {},
            now,
        )
        return {name: tokens / elapsed for name, tokens in requested.items()}

    def reserve(
        self, customer: Customer, user: str, tree_id: str, tokens: int
    ) -> Reservation:
        """Reserve tokens in every layer, or in none.

        :param customer: customer that sends the request.
        :param user: identifier of the customer's user, empty for none.
        :param tree_id: identifier of the request tree.
        :param tokens: most tokens that prompt and answer may have.
        :returns: the reservation, to be settled when the request ends.
        :raises RefusalError: ``quota_customer``, ``quota_user`` or
            ``quota_tree``; the first two state when to retry.
        """
        reservation = Reservation(tokens, customer.name, user, tree_id)
        quota = customer.record.get("quota")
        if quota is None:
            return reservation
        self._requested_tokens[customer.name] = (
            self._requested_tokens.get(customer.name, 0.0) + tokens
        )
        self._check_tree(reservation, quota.get("tree_tokens"))
        buckets = [(RefusalReason.QUOTA_CUSTOMER, self._customer_bucket(customer))]
        if user:
            buckets.append(
                (RefusalReason.QUOTA_USER, self._user_bucket(customer, user))
            )
        for reason, bucket in buckets:
            wait_s = bucket.wait_s(tokens)
            if wait_s != 0.0:
                raise RefusalError(
                    reason, detail=_retry_advice(tokens), retry_after_s=wait_s
                )
        for _, bucket in buckets:
            bucket.take(tokens)
        key = (customer.name, tree_id)
        self._tokens_by_tree[key] = self._tokens_by_tree.get(key, 0) + tokens
        _evict_oldest(self._tokens_by_tree)
        return reservation

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Return to every layer the tokens that a finished request did not use.

        :param reservation: the reservation of the request.
        :param used_tokens: tokens of prompts and answers that were processed.
        """
        unused_tokens = reservation.tokens - used_tokens
        for user in {"", reservation.user}:
            bucket = self._buckets.get((reservation.customer, user))
            if bucket is not None:
                bucket.take(-unused_tokens)
        key = (reservation.customer, reservation.tree_id)
        if key in self._tokens_by_tree:
            self._tokens_by_tree[key] -= unused_tokens

    def _check_tree(self, reservation: Reservation, limit: int | None) -> None:
        key = (reservation.customer, reservation.tree_id)
        spent = self._tokens_by_tree.get(key, 0)
        if limit is None or spent + reservation.tokens <= limit:
            return
        raise RefusalError(
            RefusalReason.QUOTA_TREE,
            detail=f"request tree has {max(0, limit - spent)} tokens left of {limit}; "
            "send fewer requests in the tree or ask for shorter answers",
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
            _evict_oldest(self._buckets)
        bucket.resize(rate, burst, now)
        self._buckets.move_to_end(key)
        return bucket


def _retry_advice(tokens: int) -> str:
    return f"{tokens} tokens are not available now; send fewer requests at once"


def _evict_oldest(entries: OrderedDict) -> None:
    if len(entries) > MAX_ENTRIES:
        entries.popitem(last=False)
