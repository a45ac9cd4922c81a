import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from lentilshore_fleet import Session, SessionSigner
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import RefusalReason
from lentilshore_node.requests import parse_completion, parse_headers

BODY = b'{"model":"m","messages":[{"role":"user","content":"x"}]}'


def refusal_of(function, *args):
    with pytest.raises(RefusalError) as caught:
        function(*args)
    assert caught.value.execution.value == "not_run"
    return caught.value.reason


@pytest.mark.parametrize(
    ("name", "value", "reason"),
    [
        ("lentilshore-deadline-ms", "0", RefusalReason.DEADLINE_INVALID),
        ("lentilshore-deadline-ms", "-5", RefusalReason.DEADLINE_INVALID),
        ("lentilshore-deadline-ms", "1e3", RefusalReason.DEADLINE_INVALID),
        ("lentilshore-deadline-ms", "9" * 30, RefusalReason.DEADLINE_INVALID),
        ("lentilshore-quality-target", "nan", RefusalReason.MALFORMED_REQUEST),
        ("lentilshore-quality-target", "2", RefusalReason.MALFORMED_REQUEST),
        ("lentilshore-priority", "urgent", RefusalReason.MALFORMED_REQUEST),
        ("lentilshore-user", "u" * 513, RefusalReason.MALFORMED_REQUEST),
        ("idempotency-key", "k" * 513, RefusalReason.MALFORMED_REQUEST),
    ],
)
def test_bad_header_is_refused(name, value, reason):
    assert refusal_of(parse_headers, {name: value}, 10.0) is reason


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"model":"m"}',
        b'{"model":1,"messages":[]}',
        BODY.replace(b"}]}", b'}],"max_tokens":0}'),
        BODY.replace(b'"x"', b"7"),
    ],
)
def test_bad_body_is_refused(body):
    headers = parse_headers({}, 10.0)
    assert refusal_of(parse_completion, headers, body) is (
        RefusalReason.MALFORMED_REQUEST
    )


def test_session_is_honoured_under_an_older_key():
    old = SessionSigner([b"old"])
    rolled = SessionSigner([b"new", b"old"])
    session = Session("s", "archive", (("m", "1"),))
    assert rolled.verify(old.sign(session), "archive") == session
    assert SessionSigner([b"new"]).verify(rolled.sign(session), "archive") == session


def test_session_of_another_customer_is_refused():
    signer = SessionSigner([b"k"])
    token = signer.sign(Session("s", "archive"))
    assert refusal_of(signer.verify, token, "bureau") is RefusalReason.SESSION_INVALID


@seed(20261203)
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(place=st.integers(0, 60), letter=st.sampled_from("AbC9-_."))
def test_altered_session_is_refused(place, letter):
    signer = SessionSigner([b"k"])
    token = signer.sign(Session("s", "archive", (("m", "1"),)))
    place %= len(token) - 1
    altered = token[:place] + letter + token[place + 1 :]
    if altered != token:
        assert refusal_of(signer.verify, altered, "archive") is (
            RefusalReason.SESSION_INVALID
        )
