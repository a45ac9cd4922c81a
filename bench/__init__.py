"""Benchmarks of the routing decisions, the fleet and the data path."""
