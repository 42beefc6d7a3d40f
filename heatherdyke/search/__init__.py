"""The way of one search at the instance that took it."""
