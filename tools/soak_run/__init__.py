"""A soak of the gateway: real processes on loopback, stand-in servers and clients, seeded troubles."""
