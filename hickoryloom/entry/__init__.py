"""Entry."""
