import ast
from pathlib import Path

import pytest

ALLOWED = {
    "kernel": set(),
    "protocol": {"kernel"},
    "routing": {"kernel"},
    "fleet": {"kernel"},
    "node": {"kernel", "protocol", "routing", "fleet"},
    "ctl": {"kernel", "protocol"},
    "standins": {"kernel", "protocol", "routing", "fleet", "node", "ctl"},
}
PACKAGES = Path(__file__).parent.parent / "packages"


def imported_packages(path):
    for item in ast.walk(ast.parse(path.read_text())):
        if isinstance(item, ast.Import):
            yield from (alias.name for alias in item.names)
        elif isinstance(item, ast.ImportFrom) and item.module:
            yield item.module


@pytest.mark.parametrize("package", ALLOWED)
def test_package_imports_only_what_it_may(package):
    own = f"lentilshore_{package}"
    for path in (PACKAGES / package / "src" / own).glob("*.py"):
        for module in imported_packages(path):
            root = module.partition(".")[0]
            if root.startswith("lentilshore_") and root != own:
                assert root.removeprefix("lentilshore_") in ALLOWED[package], path
