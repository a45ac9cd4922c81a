import random

from lentilshore_kernel.served_metrics import ServedMetrics
from lentilshore_kernel.testing import FakeClock
from lentilshore_node.clients.http_client import HttpClient
from lentilshore_node.programs.gateway_assembly import create_gateway
from lentilshore_platform.program import SettingsFile
from lentilshore_platform.translator import HeaderTranslator
from tests.test_platform_adapter import SETTINGS


def create_context(settings):
    return create_gateway(
        settings.node,
        settings.data_centre,
        settings.bounds,
        FakeClock(),
        random.Random(1),
        ServedMetrics(),
        HttpClient(),
        HeaderTranslator(),
    )


def test_changed_file_is_applied_without_a_signal(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings_file = SettingsFile(path)
    context = create_context(settings_file.load())
    settings_file.reload(context)
    assert context.bounds.key_withdrawal_s == 5.0
    path.write_text(SETTINGS.replace("revoke_ms = 5000", "revoke_ms = 3000"))
    settings_file.reload(context)
    assert context.bounds.key_withdrawal_s == 3.0


def test_invalid_or_missing_file_changes_nothing(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings_file = SettingsFile(path)
    context = create_context(settings_file.load())
    path.write_text(SETTINGS.replace("revoke_ms = 5000", 'revoke_ms = "soon"'))
    settings_file.reload(context)
    path.unlink()
    settings_file.reload(context)
    assert context.bounds.key_withdrawal_s == 5.0
