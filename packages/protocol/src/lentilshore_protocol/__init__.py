"""Cap'n Proto schemas of the calls between nodes and of operators' calls."""

from .schemas import load_operator_schema, load_peer_schema

__all__ = ["load_operator_schema", "load_peer_schema"]
