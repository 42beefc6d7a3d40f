"""Stand-ins for the platform, leaves and the network."""
