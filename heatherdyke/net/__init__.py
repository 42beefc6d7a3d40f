"""Addresses and socket options."""
