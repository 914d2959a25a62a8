"""Control."""
