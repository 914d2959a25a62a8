"""Claims."""
