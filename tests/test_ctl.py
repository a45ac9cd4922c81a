"""Every command of the operators' program against a running node."""

import json
from functools import partial

import anyio
import capnp
import pytest
import yaml

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


def run_commands(commands):
    """Run commands in a thread beside a node; return exit codes."""

    def call(arguments):
        try:
            main(arguments)
        except SystemExit as error:
            return error.code or 0
        return 0

    async def run():
        codes = []
        async with capnp.kj_loop(), running_demo_node() as node:
            address = ["--node", str(node.addresses.operator)]
            for arguments in commands:
                work = partial(call, [*arguments, *address])
                codes.append(await anyio.to_thread.run_sync(work))
        return codes

    return anyio.run(run)


@pytest.fixture
def files(tmp_path):
    paths = {}
    for key, record in {**RECORDS, "rollout/large": ROLLOUT, "bad/x": [1]}.items():
        path = tmp_path / f"{key.replace('/', '-')}.yaml"
        path.write_text(yaml.safe_dump(record))
        paths[key] = str(path)
    return paths


def setting(files, *keys):
    commands = []
    for key in keys:
        kind, _, name = key.partition("/")
        commands.append([f"{kind}s", "set", name, "--file", files[key]])
    return commands


def test_records_are_set_shown_listed_and_removed(files, capsys):
    model = "model/small"
    codes = run_commands(
        [
            *setting(files, model),
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


def test_rollout_is_started_halted_resumed_and_rolled_back(files, capsys):
    needed = ("model/small", "version/small@1")
    large = tmp_large(files)
    codes = run_commands(
        [
            *setting(files, *needed),
            ["models", "set", "large", "--file", large],
            *setting(files, "version/large@1", "version/large@2"),
            ["rollouts", "start", "large", "--file", files["rollout/large"]],
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


def tmp_large(files):
    path = files["model/large"] + ".plain"
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
def test_errors_name_the_bad_value(arguments, code, message, capsys):
    assert run_commands([arguments]) == [code]
    assert message in capsys.readouterr().err


def test_repeat_with_the_same_identifier_is_one_change(files, capsys):
    repeat = [*setting(files, "model/small")[0], "--change", "c1", "--revision", "0"]
    assert run_commands([repeat, repeat]) == [0, 0]
    out = capsys.readouterr().out
    assert out.count("revision  1") == 2
