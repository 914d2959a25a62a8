"""The journal of a process: the origins of its open streams of one service, as one stored object.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs
import cattrs

from hickoryloom.origins.messages import MAX_TEXT_CHARS, Origin

__all__ = ["JOURNALS_PREFIX", "Journal", "group_streams", "journal_key", "read_journal"]

JOURNALS_PREFIX = "stream-origins/"

MAX_STREAMS = 5_000
"""Streams in one journal, about 200 KB; the newest ones are kept."""


@attrs.frozen
class Journal:
    """Origins of the open streams of a service that one process has begun.

    Attributes:
        service: The service.
        process: Unique id of the process.
        address: `host:port` at which it receives datagrams; empty for none.
        period: Id of the period for which it was written.
        leaves_base: Whether the process may begin streams at other versions than the base of the
            period.
        streams: Ids of the backend servers by version and key of the stream.
    """

    service: str
    process: str
    address: str
    period: str
    leaves_base: bool
    streams: dict[str, dict[str, str]]

    def find(self, key: str) -> Origin | None:
        """Return the origin of a stream; None if it is not in the journal."""
        for version, servers in self.streams.items():
            if key in servers:
                return Origin(self.service, servers[key], version)
        return None


def journal_key(service: str, process: str) -> str:
    """Return the key of the object with the journal of a process."""
    return f"{JOURNALS_PREFIX}{service}.{process}"


def group_streams(origins: Iterable[tuple[str, Origin]]) -> dict[str, dict[str, str]]:
    """Return the newest of the given origins, which are in order of time, as a journal has them."""
    streams: dict[str, dict[str, str]] = {}
    for key, origin in list(origins)[-MAX_STREAMS:]:
        streams.setdefault(origin.software, {})[key] = origin.server
    return streams


def read_journal(value: Any) -> Journal | None:
    """Decode a journal; return None if it is invalid."""
    try:
        journal = cattrs.structure(value, Journal)
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError, AttributeError):
        return None
    texts = (journal.service, journal.process, journal.address, journal.period)
    return journal if all(len(text) <= MAX_TEXT_CHARS for text in texts) else None
