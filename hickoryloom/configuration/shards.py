"""Splits sections of the configuration into content-addressed shards."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from hickoryloom.config import Fault, declared_fields, read_record, write_record
from hickoryloom.configuration.documents import (
    Customer,
    KeyRecord,
    Pool,
    RequestClass,
    Service,
)

__all__ = [
    "SECTION_KINDS",
    "StoredRecord",
    "count_shards",
    "decode_record",
    "digest_of",
    "encode_record",
    "object_key",
    "section_of",
    "shard_name",
    "split_section",
]

SHARD_PREFIX = "config/shards/"
GROW_ABOVE_BYTES = 192 * 1024
SHRINK_BELOW_BYTES = 24 * 1024
TARGET_SHARD_BYTES = 96 * 1024
DIGEST_CHARS = 32
MAX_SHARDS = 256

StoredRecord = dict[str, Any]

SECTION_KINDS: dict[str, type[Any]] = {
    "pools": Pool,
    "services": Service,
    "classes": RequestClass,
    "customers": Customer,
    "keys": KeyRecord,
}


def shard_name(section: str, count: int, record_key: str) -> str:
    """Return the name of the shard that holds a record, of `count` shards of its section."""
    digest = hashlib.sha256(record_key.encode()).digest()
    index = int.from_bytes(digest[:4], "big") % count
    return f"{section}-{count}-{index}"


def section_of(name: str) -> tuple[str, int]:
    """Return the section and the shard count contained in a shard's name."""
    section, count, _ = name.rsplit("-", 2)
    return section, int(count)


def object_key(name: str, reference: str) -> str:
    """Return the object key of a shard; `reference` is its generation and digest."""
    return f"{SHARD_PREFIX}{name}-{reference}"


def digest_of(content: Mapping[str, StoredRecord]) -> str:
    """Return the digest of a shard's content."""
    return hashlib.sha256(_canonical(content).encode()).hexdigest()[:DIGEST_CHARS]


def size_of(content: Mapping[str, StoredRecord]) -> int:
    """Return the size of a shard's content as JSON, in bytes."""
    return len(_canonical(content).encode())


def count_shards(records: Mapping[str, StoredRecord], current: int) -> int:
    """Return the number of shards for a section.

    The current count is kept while the average shard size is within bounds, because a new count
    rewrites the whole section.

    Args:
        records: All records of the section.
        current: Current number of shards, 0 for none.
    """
    size = size_of(records)
    if current and SHRINK_BELOW_BYTES <= size / current <= GROW_ABOVE_BYTES:
        return current
    if current == 1 and size <= GROW_ABOVE_BYTES:
        return 1
    count = 1
    while size / count > TARGET_SHARD_BYTES and count < min(MAX_SHARDS, len(records)):
        count *= 2
    return count


def split_section(
    section: str, count: int, records: Mapping[str, StoredRecord]
) -> dict[str, dict[str, StoredRecord]]:
    """Return the content of each shard of a section, by shard name."""
    shards: dict[str, dict[str, StoredRecord]] = {
        f"{section}-{count}-{index}": {} for index in range(count)
    }
    for key, record in records.items():
        shards[shard_name(section, count, key)][key] = record
    return shards


def encode_record(record: Any) -> StoredRecord:
    """Return the stored form of a record, without the key under which it is stored."""
    stored = write_record(record, omit=("hash",))
    if isinstance(record, KeyRecord):
        stored["label"] = record.label
        if record.issued:
            stored["issued"] = True
    return stored


def decode_record(section: str, key: str, stored: StoredRecord) -> Any:
    """Build a record from its stored form; unknown keys from later releases are ignored.

    Raises:
        ValueError: The stored form is invalid.
    """
    record_type = SECTION_KINDS[section]
    known = {name: stored[name] for name in declared_fields(record_type) if name in stored}
    key_fields: dict[str, Any] = {"name": key}
    if record_type is KeyRecord:
        key_fields = {"hash": key, "label": stored["label"], "issued": stored.get("issued", False)}
    faults: list[Fault] = []
    record = read_record(record_type, known, section, key, faults, **key_fields)
    if faults:
        raise ValueError("; ".join(str(fault) for fault in faults))
    return record


def _canonical(content: Mapping[str, StoredRecord]) -> str:
    return json.dumps(content, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
