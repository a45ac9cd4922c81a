"""Nodes among themselves: links, heartbeats, reports and the leader's duties.

Messages of other nodes come in; this node's messages and the merged reports go out.
"""
