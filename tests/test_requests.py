import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from lentilshore_fleet import Session, SessionSigner
from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import RefusalReason
from lentilshore_node.delivery.requests import parse_completion, parse_headers

BODY = b'{"model":"m","messages":[{"role":"user","content":"x"}]}'


def refusal_reason(function, *args):
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
def test_invalid_header_is_refused(name, value, reason):
    assert refusal_reason(parse_headers, {name: value}, 10.0) is reason


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
def test_invalid_body_is_refused(body):
    headers = parse_headers({}, 10.0)
    assert refusal_reason(parse_completion, headers, body) is (
        RefusalReason.MALFORMED_REQUEST
    )


def test_session_signed_with_older_key_is_accepted():
    old_signer = SessionSigner([b"old"])
    rotated_signer = SessionSigner([b"new", b"old"])
    session = Session("s", "archive", (("m", "1"),))
    assert rotated_signer.verify(old_signer.sign(session), "archive") == session
    assert (
        SessionSigner([b"new"]).verify(rotated_signer.sign(session), "archive")
        == session
    )


def test_session_of_another_customer_is_refused():
    signer = SessionSigner([b"k"])
    token = signer.sign(Session("s", "archive"))
    assert (
        refusal_reason(signer.verify, token, "bureau") is RefusalReason.SESSION_INVALID
    )


@seed(20261203)
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(position=st.integers(0, 60), character=st.sampled_from("AbC9-_."))
def test_altered_session_is_refused(position, character):
    signer = SessionSigner([b"k"])
    token = signer.sign(Session("s", "archive", (("m", "1"),)))
    position %= len(token) - 1
    altered = token[:position] + character + token[position + 1 :]
    if altered != token:
        assert refusal_reason(signer.verify, altered, "archive") is (
            RefusalReason.SESSION_INVALID
        )
