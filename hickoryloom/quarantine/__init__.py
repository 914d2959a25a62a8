"""Quarantine of prompt parts and requests under which backend servers crash."""

from hickoryloom.quarantine.request_digest import digest_request, request_key
from hickoryloom.quarantine.state import QUARANTINE_TOPICS, Quarantine
from hickoryloom.quarantine.suspicion import part_keys

__all__ = ["QUARANTINE_TOPICS", "Quarantine", "digest_request", "part_keys", "request_key"]
