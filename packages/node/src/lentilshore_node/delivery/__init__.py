"""The way of one request to upstreams and of its answer back.

A parsed request and a responder come in; attempts go out to upstreams, and the answer
of one of them goes to the responder.
"""
