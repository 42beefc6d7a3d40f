"""A query tier that routes searches and runs to sharded leaves."""

__version__ = "0.1.0"
