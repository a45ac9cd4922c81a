"""Stand-ins of clients, replicas and the platform for the cases from 6 on."""
