"""The operators' program and its client."""

from .client import OperatorClient, connect

__all__ = ["OperatorClient", "connect"]
