"""Accounting of the teams' usage, spending limits, and leaf levels."""
