"""Quarantine of prompt parts under which backend servers crash."""

from hickoryloom.quarantine.state import QUARANTINE_TOPICS, Quarantine
from hickoryloom.quarantine.suspicion import part_keys

__all__ = ["QUARANTINE_TOPICS", "Quarantine", "part_keys"]
