"""Fleet."""
