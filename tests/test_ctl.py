"""Commands of lentilshorectl against a running node."""

import json
from functools import partial
from unittest.mock import patch

import anyio
import capnp
import pytest
import yaml

from lentilshore_ctl import client
from lentilshore_ctl.cli import main
from lentilshore_standins.demo import RECORDS, running_demo_node

ROLLOUT = {
    "base": "large@1",
    "candidate": "large@2",
    "shares": [0.5],
    "stage": 0,
    "state": "running",
    "halted_sessions": "keep",
    "ungraded_budget": 10,
}


def invoke(arguments):
    """Run one command and return its exit code."""
    try:
        main(arguments)
    except SystemExit as error:
        return error.code or 0
    return 0


def run_commands(commands):
    """Run commands in threads beside a running node.

    :returns: exit code of each command.
    """

    async def run():
        codes = []
        async with capnp.kj_loop(), running_demo_node() as node:
            address = ["--node", str(node.addresses.operator)]
            for arguments in commands:
                invocation = partial(invoke, [*arguments, *address])
                codes.append(await anyio.to_thread.run_sync(invocation))
        return codes

    return anyio.run(run)


@pytest.fixture
def record_files(tmp_path):
    paths = {}
    for key, record in {**RECORDS, "rollout/large": ROLLOUT, "bad/x": [1]}.items():
        path = tmp_path / f"{key.replace('/', '-')}.yaml"
        path.write_text(yaml.safe_dump(record))
        paths[key] = str(path)
    return paths


def set_commands(record_files, *keys):
    commands = []
    for key in keys:
        kind, _, name = key.partition("/")
        commands.append([f"{kind}s", "set", name, "--file", record_files[key]])
    return commands


def test_records_are_set_listed_shown_and_removed(record_files, capsys):
    model = "model/small"
    codes = run_commands(
        [
            *set_commands(record_files, model),
            ["models", "list", "--output", "json"],
            ["models", "show", "small"],
            ["models", "remove", "small"],
            ["models", "show", "small"],
            ["status"],
            ["bills"],
        ]
    )
    assert codes == [0, 0, 0, 0, 1, 0, 0]
    assert '"name": "small"' in capsys.readouterr().out


def test_rollout_is_started_halted_resumed_and_rolled_back(record_files, capsys):
    prerequisites = ("model/small", "version/small@1")
    plain_model = write_model_without_default(record_files)
    codes = run_commands(
        [
            *set_commands(record_files, *prerequisites),
            ["models", "set", "large", "--file", plain_model],
            *set_commands(record_files, "version/large@1", "version/large@2"),
            ["rollouts", "start", "large", "--file", record_files["rollout/large"]],
            ["rollouts", "pause", "large"],
            ["rollouts", "halt", "large", "--reason", "by hand"],
            ["rollouts", "resume", "large"],
            ["rollouts", "rollback", "large"],
            ["rollouts", "show", "large", "--output", "json"],
        ]
    )
    assert set(codes) == {0}
    shown = json.loads("{" + capsys.readouterr().out.rpartition("\n{")[2])
    assert shown["state"] == "rolled_back"
    assert shown["reason"] == "by hand"


def write_model_without_default(record_files):
    path = record_files["model/large"] + ".plain"
    with open(path, "w") as file:
        yaml.safe_dump({"input_price": 1, "output_price": 2}, file)
    return path


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (["models", "set", "m", "--file", "none.yaml"], 2, "none.yaml"),
        (["withdraw", "no-version"], 2, "no-version"),
        (["explain", "n.1-1"], 1, "n.1-1"),
        (["rollouts", "halt", "m"], 1, "no roll-out"),
        (["withdraw", "m@1", "--revision", "7"], 4, "current is 0"),
    ],
)
def test_errors_name_the_invalid_value(arguments, code, message, capsys):
    assert run_commands([arguments]) == [code]
    assert message in capsys.readouterr().err


def test_a_node_that_never_answers_is_named_with_the_time_waited(capsys):
    async def run():
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            arguments = ["status", "--node", f"127.0.0.1:{port}"]
            return await anyio.to_thread.run_sync(invoke, arguments)

    with patch.object(client, "CALL_TIMEOUT_S", 0.2):
        assert anyio.run(run) == 3
    assert "no answer within 0.2 s" in capsys.readouterr().err


def test_retry_with_the_same_identifier_is_one_change(record_files, capsys):
    retry = [
        *set_commands(record_files, "model/small")[0],
        "--change",
        "c1",
        "--revision",
        "0",
    ]
    assert run_commands([retry, retry]) == [0, 0]
    output = capsys.readouterr().out
    assert output.count("revision  1") == 2
