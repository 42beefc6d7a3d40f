"""The API for callers, its client, and the authentication of callers."""
