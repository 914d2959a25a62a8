"""Keys."""
