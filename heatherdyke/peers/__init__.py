"""What instances ask of one another."""
