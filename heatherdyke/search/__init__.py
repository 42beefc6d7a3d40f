"""Searches, as the instance that received the request executes them."""
