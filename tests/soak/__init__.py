"""Fault soak: real gateways, replicas and store as processes, with faults from outside.

See ``python -m tests.soak --help``.
"""
