"""Cluster membership and the assignment of leaves to home instances."""
