"""The router program: callers, upstreams, peers and operators."""
