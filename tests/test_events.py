import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import RefusalReason
from lentilshore_node.clients.events import EVENT_LIMIT_BYTES, EventReader


def answer_events(count, request_id="r1", reported_tokens=None):
    tokens = [b'id: %d\ndata: {"t":%d}\n\n' % (n, n) for n in range(count)]
    usage = {
        "prompt_tokens": 3,
        "completion_tokens": count if reported_tokens is None else reported_tokens,
    }
    end = msgspec.json.encode({"request_id": request_id, "usage": usage})
    return [*tokens, b"event: end\ndata: " + end + b"\n\n", b"data: [DONE]\n\n"]


def read_parts(parts, offset=0):
    reader = EventReader("r1", offset)
    chunks = [chunk for part in parts if (chunk := reader.feed(part)) is not None]
    return reader, b"".join(chunk.data for chunk in chunks)


@seed(20261203)
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(count=st.integers(0, 12), cuts=st.lists(st.integers(0, 600), max_size=8))
def test_answer_does_not_depend_on_cuts_of_the_bytes(count, cuts):
    whole = b"".join(answer_events(count))
    bounds = sorted({0, *(min(cut, len(whole)) for cut in cuts), len(whole)})
    parts = [whole[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    reader, data = read_parts(parts)
    assert reader.done
    assert data == whole


@seed(20261203)
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.binary(max_size=400))
def test_arbitrary_bytes_raise_or_stay_incomplete(data):
    try:
        reader, _ = read_parts([data])
    except UpstreamError:
        return
    assert not reader.done


def test_repeated_tokens_are_dropped():
    parts = answer_events(3)
    reader, data = read_parts(
        [parts[0], parts[0], parts[1], parts[0] + parts[2], *parts[3:]]
    )
    assert reader.done
    assert data == b"".join(parts)


@pytest.mark.parametrize(
    ("parts", "reason"),
    [
        ([answer_events(3)[0], answer_events(3)[2]], RefusalReason.UPSTREAM_TRUNCATED),
        (answer_events(2, reported_tokens=3), RefusalReason.UPSTREAM_TRUNCATED),
        (answer_events(2, request_id="r2"), RefusalReason.ANSWER_MISMATCH),
        ([b"data: hello\n\n"], RefusalReason.UPSTREAM_GARBLED),
        ([*answer_events(1)[:-1], b"data: more\n\n"], RefusalReason.UPSTREAM_GARBLED),
        ([b"x" * (EVENT_LIMIT_BYTES + 1)], RefusalReason.UPSTREAM_GARBLED),
        ([b"event: end\ndata: {\n\n"], RefusalReason.UPSTREAM_GARBLED),
    ],
)
def test_invalid_stream_raises_typed_error(parts, reason):
    with pytest.raises(UpstreamError) as caught:
        read_parts(parts)
    assert caught.value.reason is reason


def test_resumed_stream_starts_at_its_offset():
    reader, data = read_parts(answer_events(4), offset=2)
    assert reader.done
    assert data == b"".join(answer_events(4)[2:])
