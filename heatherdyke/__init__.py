"""A query tier over many shards that answers for outcomes."""

__version__ = "0.1.0"
