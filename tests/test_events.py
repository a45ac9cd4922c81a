import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from lentilshore_kernel.exceptions import UpstreamError
from lentilshore_kernel.types import RefusalReason
from lentilshore_node.events import EVENT_LIMIT_BYTES, EventReader


def answer(count, request="r1", said=None):
    tokens = [b'id: %d\ndata: {"t":%d}\n\n' % (n, n) for n in range(count)]
    usage = {"prompt_tokens": 3, "completion_tokens": count if said is None else said}
    end = msgspec.json.encode({"request_id": request, "usage": usage})
    return [*tokens, b"event: end\ndata: " + end + b"\n\n", b"data: [DONE]\n\n"]


def read(parts, offset=0):
    reader = EventReader("r1", offset)
    chunks = [chunk for part in parts if (chunk := reader.feed(part)) is not None]
    return reader, b"".join(chunk.data for chunk in chunks)


@seed(20261203)
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(count=st.integers(0, 12), cuts=st.lists(st.integers(0, 600), max_size=8))
def test_any_cut_of_the_bytes_gives_the_same_answer(count, cuts):
    whole = b"".join(answer(count))
    places = sorted({0, *(min(cut, len(whole)) for cut in cuts), len(whole)})
    parts = [whole[a:b] for a, b in zip(places, places[1:], strict=False)]
    reader, data = read(parts)
    assert reader.done
    assert data == whole


@seed(20261203)
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.binary(max_size=400))
def test_garbage_is_refused_or_waits_for_more(data):
    try:
        reader, _ = read([data])
    except UpstreamError:
        return
    assert not reader.done


def test_repeated_tokens_are_dropped():
    parts = answer(3)
    reader, data = read([parts[0], parts[0], parts[1], parts[0] + parts[2], *parts[3:]])
    assert reader.done
    assert data == b"".join(parts)


@pytest.mark.parametrize(
    ("parts", "reason"),
    [
        ([answer(3)[0], answer(3)[2]], RefusalReason.UPSTREAM_TRUNCATED),
        (answer(2, said=3), RefusalReason.UPSTREAM_TRUNCATED),
        (answer(2, request="r2"), RefusalReason.ANSWER_MISMATCH),
        ([b"data: hello\n\n"], RefusalReason.UPSTREAM_GARBLED),
        ([*answer(1)[:-1], b"data: more\n\n"], RefusalReason.UPSTREAM_GARBLED),
        ([b"x" * (EVENT_LIMIT_BYTES + 1)], RefusalReason.UPSTREAM_GARBLED),
        ([b"event: end\ndata: {\n\n"], RefusalReason.UPSTREAM_GARBLED),
    ],
)
def test_wrong_streams_are_typed(parts, reason):
    with pytest.raises(UpstreamError) as caught:
        read(parts)
    assert caught.value.reason is reason


def test_resumed_stream_starts_at_its_offset():
    reader, data = read(answer(4), offset=2)
    assert reader.done
    assert data == b"".join(answer(4)[2:])
