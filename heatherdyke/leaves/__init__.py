"""Dispatch of searches and runs from a home instance to its leaves."""
