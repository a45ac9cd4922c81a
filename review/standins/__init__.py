"""Stand-ins of clients, replicas and the platform, and the gateways as processes."""
