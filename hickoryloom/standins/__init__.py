"""Standins."""
