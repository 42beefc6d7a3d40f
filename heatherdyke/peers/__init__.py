"""HTTP requests between instances, and their authentication."""
