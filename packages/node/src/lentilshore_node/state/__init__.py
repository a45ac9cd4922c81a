"""What a node knows: its components, configuration, replicas and roll-outs.

Reads of the platform come in; the view and the context that every request uses go out.
"""
