"""The client of the platform's object API, and state read through it."""
