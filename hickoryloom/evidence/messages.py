"""Records that spread among instances, and the datagrams that carry them."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable, Iterator

import attrs
import cattrs
from result import Err, Ok, Result

__all__ = [
    "AgedRecord",
    "Datagram",
    "DatagramKind",
    "Record",
    "Topic",
    "decode",
    "encode",
    "pack",
    "record_with_age",
    "record_with_time",
]

MAX_DATAGRAM_BYTES = 1_200
"""Fits into one packet of common networks, so that a datagram is not lost in fragments."""


@attrs.frozen
class Topic:
    """A kind of evidence.

    Attributes:
        name: Its name in datagrams.
        lifetime_s: Seconds after its observation for which a record is kept.
    """

    name: str
    lifetime_s: float


@attrs.frozen
class Record:
    """One piece of evidence; a later one of the same topic and key replaces it.

    Attributes:
        topic: Name of its topic.
        key: What it is about.
        value: What was observed.
        id: Unique id, which stays the same at all instances.
        at: Monotonic time of the observation on the clock of the process that holds it, in seconds.
    """

    topic: str
    key: str
    value: str
    id: str
    at: float


AgedRecord = tuple[str, str, str, str, float]
"""Topic, key, value, id and age in seconds of a record, as it is sent."""


def record_with_age(record: Record, now: float) -> AgedRecord:
    """Return a record in the form in which it is sent."""
    age_s = round(max(0.0, now - record.at), 3)
    return record.topic, record.key, record.value, record.id, age_s


def record_with_time(sent: AgedRecord, now: float) -> Record:
    """Return a received record with its time on the clock of this process."""
    topic, key, value, id, age_s = sent
    return Record(topic, key, value, id, now - max(0.0, age_s))


class DatagramKind(enum.Enum):
    """What the receiver of a datagram does besides merging its records.

    Attributes:
        SUMMARY: If the digests differ, it replies with all of its records.
        REPLY: If the digests differ afterwards, it sends all of its own records.
        RECORDS: Nothing.
    """

    SUMMARY = "summary"
    REPLY = "reply"
    RECORDS = "records"


@attrs.frozen
class Datagram:
    """Records of one sender, with their ages instead of times.

    Attributes:
        kind: What it asks for.
        address: `host:port` at which the sender receives datagrams.
        digest: Digest of all records of the sender.
        records: The records.
    """

    kind: DatagramKind
    address: str
    digest: str
    records: tuple[AgedRecord, ...] = ()


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    return json.dumps(cattrs.unstructure(datagram), separators=(",", ":")).encode()


def decode(data: bytes) -> Result[Datagram, str]:
    """Decode a datagram; return an error message if it is invalid."""
    try:
        return Ok(cattrs.structure(json.loads(data), Datagram))
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError, RecursionError) as error:
        return Err(f"invalid datagram: {type(error).__name__}")


def pack(
    kind: DatagramKind, address: str, digest: str, records: Iterable[Record], now: float
) -> Iterator[bytes]:
    """Yield the datagrams that carry some records; only the last one is of the kind asked for.

    Args:
        kind: Kind of the last datagram; the others are `RECORDS`.
        address: `host:port` at which the sender receives datagrams.
        digest: Digest of all records of the sender.
        records: The records.
        now: Monotonic time in seconds.
    """
    batch: list[AgedRecord] = []
    room = limit = MAX_DATAGRAM_BYTES - len(encode(Datagram(kind, address, digest)))
    for record in records:
        item = record_with_age(record, now)
        size = len(json.dumps(item)) + 1
        if batch and size > room:
            yield encode(Datagram(DatagramKind.RECORDS, address, digest, tuple(batch)))
            batch, room = [], limit
        batch.append(item)
        room -= size
    yield encode(Datagram(kind, address, digest, tuple(batch)))
