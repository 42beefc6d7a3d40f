"""Stand-ins for the platform, leaves and the network, for development."""
