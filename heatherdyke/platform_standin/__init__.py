"""Stand-ins for the users' platform: its store and its leafs.

They implement the platform's documented protocol, for tests and measurements
without the platform.
"""
