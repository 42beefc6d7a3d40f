"""Events, logs, metrics, the merged timeline and health."""
