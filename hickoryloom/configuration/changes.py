"""The changes that operators make: publishing documents, issuing and withdrawing keys."""

from __future__ import annotations

from typing import Any

import attrs
from result import Result

from hickoryloom.config import Fault
from hickoryloom.configuration.checking import Sources, check_documents
from hickoryloom.configuration.documents import Documents, KeyRecord
from hickoryloom.configuration.publishing import (
    Change,
    ChangeError,
    ChangeErrorKind,
    Publisher,
    documents_digest,
    new_publish_id,
)
from hickoryloom.configuration.root import Root
from hickoryloom.configuration.shards import (
    SECTION_KINDS,
    StoredRecord,
    decode_record,
    encode_record,
)
from hickoryloom.configuration.stored import StoredConfiguration

__all__ = ["issue_key", "list_keys", "publish", "publish_change", "withdraw_key"]

WITHDRAWN = "withdrawn"
MIN_HASH_CHARS = 8


def publish(
    client: Any, documents: Documents, publish_id: str = "", after: int = 0
) -> Result[int, ChangeError]:
    """Put documents in force, keeping keys that were issued and leaving out withdrawn ones.

    Args:
        client: The platform's client.
        documents: Checked documents.
        publish_id: Unique to this publication; empty for a new one.
        after: The new generation is above this one too, for a platform restored from a backup.

    Returns:
        The generation in which they are in force.
    """
    publisher = Publisher(client, after=after)
    return publisher.apply(publish_change(documents), publish_id or new_publish_id())


def publish_change(documents: Documents) -> Change:
    """Return the change that makes the configuration hold `documents`.

    When another operator publishes other documents between its first look and its update, it gives
    way with `RACED` and overwrites nothing; keys issued or withdrawn meanwhile are kept.
    """
    encoded = _encode(documents)
    digest = documents_digest(encoded)
    first_seen: list[str] = []

    def change(stored: StoredConfiguration, root: Root) -> ChangeError | str:
        first_seen.append(root.documents)
        if root.documents != first_seen[0]:
            detail = f"other documents came in force meanwhile as generation {root.generation}"
            return ChangeError(ChangeErrorKind.RACED, f"{detail}; check and publish again")
        issued, faults = _issued_keys(stored, documents)
        if faults:
            detail = "the documents don't fit the keys that were issued"
            return ChangeError(ChangeErrorKind.FAULTY, detail, tuple(faults))
        for section in SECTION_KINDS:
            records = dict(encoded[section])
            if section == "keys":
                withdrawn = stored.section(WITHDRAWN)
                records = {key: kept for key, kept in records.items() if key not in withdrawn}
                records.update(issued)
            stored.replace(section, records)
        return digest

    return change


def issue_key(client: Any, key: KeyRecord, publish_id: str = "") -> Result[int, ChangeError]:
    """Put one key in force.

    Args:
        client: The platform's client.
        key: The key's record, with `issued` set.
        publish_id: Unique to this change; empty for a new one.

    Returns:
        The generation in which the key is in force.
    """

    def change(stored: StoredConfiguration, root: Root) -> ChangeError | str:
        customer = stored.get("customers", key.customer)
        if customer is None:
            detail = f"no customer is named {key.customer!r}; publish the customer first"
            return ChangeError(ChangeErrorKind.ABSENT, detail)
        if key.request_class and key.request_class not in customer["classes"]:
            allowed = ", ".join(customer["classes"])
            detail = f"{key.customer} may not use class {key.request_class!r}; allowed: {allowed}"
            return ChangeError(ChangeErrorKind.FAULTY, detail)
        if stored.get(WITHDRAWN, key.hash) is not None:
            return ChangeError(ChangeErrorKind.FAULTY, "the key was withdrawn; issue another")
        stored.put("keys", key.hash, encode_record(attrs.evolve(key, issued=True)))
        return root.documents

    return Publisher(client).apply(change, publish_id or new_publish_id())


def withdraw_key(client: Any, name: str, publish_id: str = "") -> Result[int, ChangeError]:
    """Withdraw one key, also when documents still list it.

    Args:
        client: The platform's client.
        name: The key's whole hash, at least 8 of its first characters, or its label.
        publish_id: Unique to this change; empty for a new one.

    Returns:
        The generation in which the key is withdrawn.
    """

    def change(stored: StoredConfiguration, root: Root) -> ChangeError | str:
        found = _find_keys(stored, name)
        if len(found) != 1:
            detail = f"{len(found)} keys in force match {name!r}"
            return ChangeError(ChangeErrorKind.ABSENT, f"{detail}; see `hickoryloom keys list`")
        [(key, record)] = found.items()
        stored.remove("keys", key)
        if not record.get("issued"):
            stored.put(WITHDRAWN, key, {"label": record["label"]})
        return root.documents

    return Publisher(client).apply(change, publish_id or new_publish_id())


def list_keys(client: Any) -> Result[tuple[KeyRecord, ...], ChangeError]:
    """Return all keys in force, sorted by customer and label."""
    read = Publisher(client).read_root()
    return read.map(lambda found: _sorted_keys(client, found[1])).map_err(
        lambda error: ChangeError(ChangeErrorKind.UNAVAILABLE, error.detail)
    )


def _sorted_keys(client: Any, root: Root) -> tuple[KeyRecord, ...]:
    records = StoredConfiguration(client, root).section("keys")
    keys = [decode_record("keys", key, record) for key, record in records.items()]
    return tuple(sorted(keys, key=lambda key: (key.customer, key.label, key.hash)))


def _find_keys(stored: StoredConfiguration, name: str) -> dict[str, StoredRecord]:
    exact = stored.get("keys", name)
    if exact is not None:
        return {name: exact}
    records = stored.section("keys")
    is_hash = len(name) >= MIN_HASH_CHARS and not set(name) - set("0123456789abcdef")
    return {
        key: record
        for key, record in records.items()
        if record["label"] == name or (is_hash and key.startswith(name))
    }


def _encode(documents: Documents) -> dict[str, dict[str, StoredRecord]]:
    return {
        section: {key: encode_record(record) for key, record in getattr(documents, section).items()}
        for section in SECTION_KINDS
    }


def _issued_keys(
    stored: StoredConfiguration, documents: Documents
) -> tuple[dict[str, StoredRecord], list[Fault]]:
    records = stored.section("keys")
    issued = {key: record for key, record in records.items() if record.get("issued")}
    decoded = {key: decode_record("keys", key, record) for key, record in issued.items()}
    merged = attrs.evolve(documents, keys={**documents.keys, **decoded})
    sources: Sources = {}
    return issued, check_documents(merged, sources)
