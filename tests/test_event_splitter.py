import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_node.clients.event_splitter import (
    EVENT_LIMIT_BYTES,
    EventPace,
    EventSplitter,
)

WHOLE = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 9))


@seed(20261203)
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.lists(st.integers(0, len(WHOLE)), max_size=10))
def test_only_whole_events_are_returned_wherever_the_stream_is_split(splits):
    offsets = sorted({0, *splits, len(WHOLE)})
    splitter = EventSplitter()
    out = b""
    for start, end in zip(offsets, offsets[1:], strict=False):
        out += splitter.feed(WHOLE[start:end])
        assert out == b"" or out.endswith(b"\n\n")
        assert out + splitter.partial_event == WHOLE[:end]
        assert splitter.last_id == (out.count(b"id:") or None)
    assert out == WHOLE


def test_lines_that_end_with_crlf_are_split():
    splitter = EventSplitter()
    whole = b"id: 1\r\ndata: a\r\n\r\n"
    assert splitter.feed(whole + b"id: 2\r\ndata: b\r\n") == whole
    assert splitter.last_id == 1
    assert splitter.feed(b"\r\n") == b"id: 2\r\ndata: b\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "last_id"),
    [
        (b"data: x\n\n", None),
        (b"id: 7\ndata: x\n\n", 7),
        (b"id:7\n\nid: 8\ndata: cut", 7),
        (b"id: 7\n\nevent: note\n\n", 7),
        (b"id: seven\n\n", None),
        (b"id: 7\r\rid: 8\rdata: cut", 7),
        (b"id: " + b"9" * 5000 + b"\n\n", None),
    ],
)
def test_number_of_the_last_whole_event(data, last_id):
    splitter = EventSplitter()
    splitter.feed(data)
    assert splitter.last_id == last_id


def test_an_event_over_the_size_limit_is_rejected():
    with pytest.raises(UpstreamError, match="event"):
        EventSplitter().feed(b"x" * (EVENT_LIMIT_BYTES + 1))


def test_the_mean_pause_is_returned_once_and_excludes_the_first_event():
    pace = EventPace()
    pauses = []
    for number in range(1, 9):
        pace.record_event(number, 100.0 + number * 0.5)
        pauses.append(pace.take_mean_pause_s())
    assert pauses == [None] * 4 + [0.5] + [None] * 3


def test_events_that_arrive_together_count_each():
    pace = EventPace()
    pace.record_event(1, 10.0)
    pace.record_event(9, 14.0)
    assert pace.take_mean_pause_s() == 0.5
    assert pace.longest_pause_s == 4.0
