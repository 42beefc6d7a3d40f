"""Stand-ins for the users' platform: its store and its leafs.

They speak what the platform's pages say, for tests and measurements without
the platform.
"""
