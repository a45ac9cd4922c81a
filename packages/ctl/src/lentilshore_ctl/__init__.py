"""Operators' command line and RPC client."""

from .client import OperatorClient, connect

__all__ = ["OperatorClient", "connect"]
