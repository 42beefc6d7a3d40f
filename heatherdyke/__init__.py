"""A query tier that routes searches and runs to sharded leafs."""

__version__ = "0.1.0"
