"""What teams use, and their spending limits."""
