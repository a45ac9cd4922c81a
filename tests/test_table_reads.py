"""Reads of the configuration from the platform's store."""

import pytest

from lentilshore_kernel.exceptions import StoreUnavailableError
from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock, run_with_clock
from lentilshore_kernel.types import Address
from lentilshore_platform.store import ObjectStoreSource, StoreClient
from tests.store_standin import StoreStandin

ROUTE = {"name": "a", "host": "h", "path_prefix": "/a/", "kind": "idempotent"}
ROUTES = [ROUTE | {"name": f"r{n}", "timeout_ms": 800} for n in range(400)]


class CountedStore(StoreStandin):
    """Store that counts the bytes of its answers."""

    def __init__(self, clock):
        super().__init__(clock)
        self.calls = self.bytes = 0

    async def request(self, *args, **kwargs):
        answer = await super().request(*args, **kwargs)
        self.calls += 1
        self.bytes += len(answer.body)
        return answer


def read(*steps):
    """Run steps with a store and its source; return what each read gave."""
    clock = FakeClock()
    store = CountedStore(clock)
    source = ObjectStoreSource(
        StoreClient(store, Address("10.0.0.1", 1), ServedMetrics())
    )
    results = []

    async def main():
        for step in steps:
            step(store)
            try:
                table = (await source.read_table()).table
            except StoreUnavailableError as error:
                results.append(str(error))
                continue
            results.append(table.version if table else None)

    run_with_clock(clock, main)
    return results, store, source


def nothing(store):
    """Change nothing."""


def put(version, **fields):
    def act(store):
        spec = {"version": version, "routes": ROUTES} | fields
        store.put("config", "main", spec)

    return act


def storm(store):
    for version in (5, 6, 7):
        put(version)(store)


def restored_to(version):
    def act(store):
        put(version)(store)
        store.restore(store.copy())

    return act


def forget(store):
    store.revision += 5
    store._events = []


def broken(store):
    store.put("config", "main", {"version": "no number"})


# Guards against relays that run late: each read of a large configuration took longer
# than the time for which the one before may be relayed.
def test_an_unchanged_configuration_is_transferred_once():
    versions, store, _ = read(put(3), *[nothing] * 20)
    assert (set(versions), store.calls) == ({3}, 21)
    _, once, _ = read(put(3))
    assert store.bytes < once.bytes + 20 * 100


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([nothing, put(1), nothing], [None, 1, 1]),
        ([put(3), put(4), nothing], [3, 4, 4]),
        ([put(3), storm, nothing], [3, 7, 7]),
        ([put(7), restored_to(4), nothing], [7, 4, 4]),
        ([put(3), forget, put(5)], [3, 3, 5]),
        ([put(3), lambda store: store.delete("config", "main")], [3, None]),
    ],
    ids=["first", "change", "storm", "restored", "history gone", "deleted"],
)
def test_the_newest_configuration_is_read(steps, expected):
    assert read(*steps)[0] == expected


def test_a_configuration_that_cannot_be_read_is_an_error_each_time():
    results, _, _ = read(put(3), broken, nothing, put(4))
    assert [result for result in results if isinstance(result, int)] == [3, 4]
    assert all("config/main" in result for result in results[1:3])


def test_a_configuration_that_another_gateway_told_is_not_read_again():
    _, _, other = read(put(3), put(4))
    versions, _, source = read(put(3))
    assert (versions, source.decode_table(other.table_data).version) == ([3], 4)
    assert source.table_data == other.table_data
    with pytest.raises(StoreUnavailableError):
        source.decode_table(b"{")
    assert source.table_data == other.table_data
