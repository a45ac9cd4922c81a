"""The edges that serve callers: the product's own interface and the gateway.

Bytes of callers come in; each request goes out to delivery and gets one answer or one
typed refusal.
"""
