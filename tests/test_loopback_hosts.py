from contextlib import ExitStack
from itertools import count

from tests.loopback_hosts import PREFIXES, reserved_prefix


# Two runs of the tests at once gave their gateways the same addresses.
def test_runs_that_start_with_the_same_prefix_get_different_ones():
    first = PREFIXES - 2
    with ExitStack() as stack:
        prefixes = [stack.enter_context(reserved_prefix(count(first))) for _ in "abc"]
    assert len(set(prefixes)) == 3


def test_a_prefix_can_be_reserved_again():
    with reserved_prefix(count(5)) as prefix:
        pass
    with reserved_prefix(count(5)) as again:
        assert again == prefix
