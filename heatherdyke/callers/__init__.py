"""The callers' API, its client and their keys."""
