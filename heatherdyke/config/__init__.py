"""Configuration: format, validation, editing and replication."""
