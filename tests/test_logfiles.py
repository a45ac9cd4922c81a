"""Commands that read log files, applied to recorded logs."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from lentilshore_ctl.cli import main
from lentilshore_ctl.logfiles import parse_line

RECORDED_LOGS = Path(__file__).parent / "recorded"


def run_command(capsys, *arguments):
    code = 0
    try:
        main([str(argument) for argument in arguments])
    except SystemExit as error:
        code = error.code or 0
    return code, capsys.readouterr()


def show_story(capsys, request, around, *names):
    files = [RECORDED_LOGS / name for name in names]
    code, captured = run_command(
        capsys, "story", request, *files, "--around", around, "--output", "json"
    )
    assert code == 0
    return [(row["event"], row["details"]) for row in json.loads(captured.out)]


@pytest.mark.parametrize(
    ("line", "event", "fields"),
    [
        ('time=1.5 event=e task=t/1 a=b c="d e"', "e", {"a": "b", "c": "d e"}),
        ("  3.1 node-1 time=1.5 event=e x=1", "e", {"x": "1"}),
        ("time=1.5 event=e detail=a=b", "e", {"detail": "a=b"}),
        ("no event", None, None),
        ("time=now event=e", None, None),
        ("time=1.5 task=t", None, None),
        ('time=1.5 event=e a="cut off', None, None),
    ],
)
def test_parse_line(line, event, fields):
    parsed = parse_line(line, "f")
    assert (parsed and parsed.event) == event
    if parsed is not None:
        assert fields.items() <= parsed.fields.items()


def test_story_of_a_refusal_while_the_store_was_lost(capsys):
    events = show_story(capsys, "76842cdbf2498b3b", 3, "store-lost.log")
    assert [event for event, _ in events][0] == "store_lost"
    event, details = events[-1]
    assert (event, details["reason"]) == ("request_refused", "key_unproved")
    assert details["execution"] == "not_run"


def test_story_of_a_lost_answer(capsys):
    events = show_story(capsys, "1d3d6f5b0f7b8464", 0.1, "answer-lost.log")
    assert [event for event, _ in events] == ["attempt_failed", "request_refused"]
    assert events[0][1]["execution"] == "unknown"


def test_story_of_a_request_served_by_an_old_configuration(capsys):
    files = ("old-version-brest-c-1.log", "old-version-rennes-b-2.log")
    events = show_story(capsys, "9a4db2f17a500598", 10, *files)
    served = next(details for event, details in events if event == "request_served")
    versions_taken_up = [
        int(details["version"])
        for event, details in events
        if event == "configuration_taken_up"
    ]
    assert int(served["configuration"]) == 13
    assert max(versions_taken_up) == 25
    assert "store_lost" in [event for event, _ in events]


def test_unknown_request_is_an_error(capsys):
    code, captured = run_command(
        capsys, "story", "nobody", RECORDED_LOGS / "answer-lost.log"
    )
    assert code == 1
    assert "'nobody'" in captured.err


def test_missing_file_is_bad_usage(capsys):
    code, captured = run_command(capsys, "reasons", RECORDED_LOGS / "missing.log")
    assert code == 2
    assert "missing.log" in captured.err


def test_reasons_are_counted_in_a_time_window(capsys):
    file = RECORDED_LOGS / "store-lost.log"
    code, captured = run_command(capsys, "reasons", file, "--output", "json")
    assert code == 0
    rows = {
        (row["event"], row["why"]): row["count"] for row in json.loads(captured.out)
    }
    assert rows["request_refused", "key_unproved not_run 503"] == 1
    code, captured = run_command(
        capsys, "reasons", file, "--end", "1.0", "--output", "json"
    )
    assert json.loads(captured.out) == []


def test_closed_output_pipe_is_not_an_error():
    reader, writer = os.pipe()
    os.close(reader)
    program = "from lentilshore_ctl.cli import main; main()"
    completed = subprocess.run(
        [
            sys.executable,
            "-c",
            program,
            "reasons",
            str(RECORDED_LOGS / "store-lost.log"),
        ],
        stdout=writer,
        stderr=subprocess.PIPE,
        check=False,
    )
    os.close(writer)
    assert (completed.returncode, completed.stderr) == (0, b"")
