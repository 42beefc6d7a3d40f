"""What a home does for its leaves."""
