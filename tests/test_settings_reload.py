"""Settings files that can't be read while a gateway serves."""

import pytest

from lentilshore_platform.program import SettingsFile
from tests.test_platform_adapter import SETTINGS
from tests.test_platform_program import create_context


# Guards against LOST: a reload at a signal that failed with an error of another type
# than SettingsError ended the gateway with its requests in flight.
@pytest.mark.parametrize("line", SETTINGS.strip().splitlines())
@pytest.mark.parametrize(
    "value",
    [
        "",
        "inf",
        "nan",
        "-inf",
        "-1",
        "9" * 400,
        "9" * 5000,
        '"x"',
        "[]",
        "[inf]",
        "[" * 5000,
        '"127.0.0.1:\u00b2"',
    ],
    ids=lambda value: value[:12] or "none",
)
def test_a_settings_file_that_is_not_valid_fails_no_reload(line, value, tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings_file = SettingsFile(path)
    context = create_context(settings_file.load())
    bounds = context.bounds
    key, _, _ = line.partition(" = ")
    path.write_text(SETTINGS.replace(line, f"{key} = {value}" if value else ""))
    settings_file.reload(context)
    assert context.bounds == bounds
