"""Fault matrix: every fault at every step, judged from outside the nodes."""
