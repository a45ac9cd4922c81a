"""Clients of what a node calls: engines, plain services, replicas and the platform.

Calls come in as typed requests; answers go out as typed results or as errors that say
whether the call may have run.
"""
