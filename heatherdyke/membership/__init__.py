"""Which instances there are, and which is the home of a leaf."""
