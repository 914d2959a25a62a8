"""Bench."""
