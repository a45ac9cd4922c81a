"""Bench of the production decision code, with a fake clock and seeded traces."""
