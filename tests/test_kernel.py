from pathlib import Path

import pytest

from lentilshore_kernel.exceptions import STATUS_BY_REASON, SettingsError
from lentilshore_kernel.logs import format_event
from lentilshore_kernel.metrics import refusal_counter, retry_counter
from lentilshore_kernel.reference import render_reasons, render_settings
from lentilshore_kernel.settings import parse_settings
from lentilshore_kernel.types import RefusalReason, RetryReason

DOCS = Path(__file__).parent.parent / "docs"
VALID_SETTINGS = """\
instance: node-1
data_centre: brest-1
caller: {host: 127.0.0.1, port: 0}
operator: {host: 127.0.0.1, port: 0}
peer: {host: 127.0.0.1, port: 0}
platform: {host: 127.0.0.1, port: 9000}
session_keys: [{id: k1, file: session.key}]
"""


@pytest.mark.parametrize(
    ("change", "path", "line"),
    [
        (("port: 9000", "port: 99999"), "platform.port", 6),
        (("host: 127.0.0.1, port: 9000", "host: example, port: 1"), "platform.host", 6),
        (("instance: node-1", "instance: 'Node 1'"), "instance", 1),
        (("data_centre: brest-1", "data_center: brest-1"), "data_center", 2),
        (("session_keys: [{id: k1, file: session.key}]", ""), "session_keys", 1),
    ],
)
def test_settings_error_names_path_and_line(change, path, line):
    with pytest.raises(SettingsError) as caught:
        parse_settings(VALID_SETTINGS.replace(*change), Path("node.yaml"))
    assert (path, line) in {(p.path, p.line) for p in caught.value.problems}


def test_settings_error_lists_every_problem():
    text = VALID_SETTINGS.replace("port: 9000", "port: no").replace("brest-1", "'!'")
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, Path("node.yaml"))
    assert len(caught.value.problems) == 2


def test_operator_listener_off_loopback_needs_keys_and_tls():
    text = VALID_SETTINGS.replace(
        "operator: {host: 127.0.0.1", "operator: {host: 10.0.0.1"
    )
    with pytest.raises(SettingsError, match="problem"):
        parse_settings(text, Path("node.yaml"))


def test_every_refusal_reason_has_status_and_counter():
    assert set(STATUS_BY_REASON) == set(RefusalReason)
    counters = {refusal_counter(reason) for reason in RefusalReason}
    assert len(counters) == len(RefusalReason)


def test_every_retry_reason_has_counter():
    assert len({retry_counter(reason) for reason in RetryReason}) == len(RetryReason)


@pytest.mark.parametrize(
    ("page", "render"),
    [("SETTINGS.md", render_settings), ("REASONS.md", render_reasons)],
)
def test_reference_page_is_current(page, render):
    assert (DOCS / page).read_text() == render()


def test_log_line_quotes_values_and_escapes_newlines():
    line = format_event({"message_type": "x", "detail": 'a "b"\nc', "plain": 1})
    assert "\n" not in line
    assert 'detail="a \\"b\\"\\nc" plain=1' in line
