"""Open-loop load and the comparison of policies."""
