"""Events, logs, metrics, the time line and health."""
