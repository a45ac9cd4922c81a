"""Loads the Cap'n Proto schemas of the system's protocols."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any

import capnp

capnp.remove_import_hook()

_DIRECTORY = Path(__file__).parent


@cache
def load_peer_schema() -> Any:
    """Return the schema of the calls between nodes."""
    return capnp.load(str(_DIRECTORY / "peer.capnp"))


@cache
def load_operator_schema() -> Any:
    """Return the schema of the calls from operators."""
    return capnp.load(str(_DIRECTORY / "operator.capnp"))
