"""The configuration: format, checks, edits, and what is in force."""
