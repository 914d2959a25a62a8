"""Configuration changes: publishing documents, issuing keys and withdrawing keys."""

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
    client: Any, documents: Documents, publish_id: str = "", after_generation: int = 0
) -> Result[int, ChangeError]:
    """Publish documents, keeping issued keys and omitting withdrawn ones.

    Args:
        client: The platform's client.
        documents: Validated documents.
        publish_id: Unique id of this publication; empty to generate one.
        after_generation: Generation that the new one must exceed. Needed after the platform
            was restored from a backup, when entries hold later generations than the platform.

    Returns:
        The generation that contains the documents.
    """
    publisher = Publisher(client, after_generation=after_generation)
    return publisher.apply(publish_change(documents), publish_id or new_publish_id())


def publish_change(documents: Documents) -> Change:
    """Return the change that replaces the published documents with `documents`.

    The change fails with `CONFLICT` if another operator publishes different documents between its
    first attempt and its commit. Keys issued or withdrawn in the meantime are kept.
    """
    encoded = _encode(documents)
    digest = documents_digest(encoded)
    first_documents: list[str] = []

    def change(stored: StoredConfiguration, root: Root) -> ChangeError | str:
        first_documents.append(root.documents)
        if root.documents != first_documents[0]:
            detail = f"other documents came in force meanwhile as generation {root.generation}"
            return ChangeError(ChangeErrorKind.CONFLICT, f"{detail}; check and publish again")
        issued, faults = _issued_keys(stored, documents)
        if faults:
            detail = "the documents conflict with issued keys"
            return ChangeError(ChangeErrorKind.INVALID, detail, tuple(faults))
        for section in SECTION_KINDS:
            records = dict(encoded[section])
            if section == "keys":
                withdrawn = stored.section(WITHDRAWN)
                records = {key: record for key, record in records.items() if key not in withdrawn}
                records.update(issued)
            stored.replace(section, records)
        return digest

    return change


def issue_key(client: Any, key: KeyRecord, publish_id: str = "") -> Result[int, ChangeError]:
    """Add one key to the configuration.

    Args:
        client: The platform's client.
        key: The key's record, with `issued` set.
        publish_id: Unique id of this change; empty to generate one.

    Returns:
        The first generation that contains the key.
    """

    def change(stored: StoredConfiguration, root: Root) -> ChangeError | str:
        customer = stored.get("customers", key.customer)
        if customer is None:
            detail = f"no customer is named {key.customer!r}; publish the customer first"
            return ChangeError(ChangeErrorKind.ABSENT, detail)
        if key.request_class and key.request_class not in customer["classes"]:
            allowed = ", ".join(customer["classes"])
            detail = f"{key.customer} may not use class {key.request_class!r}; allowed: {allowed}"
            return ChangeError(ChangeErrorKind.INVALID, detail)
        if stored.get(WITHDRAWN, key.hash) is not None:
            return ChangeError(ChangeErrorKind.INVALID, "the key was withdrawn; issue a new one")
        stored.put("keys", key.hash, encode_record(attrs.evolve(key, issued=True)))
        return root.documents

    return Publisher(client).apply(change, publish_id or new_publish_id())


def withdraw_key(client: Any, name: str, publish_id: str = "") -> Result[int, ChangeError]:
    """Withdraw one key, even if the documents still list it.

    Args:
        client: The platform's client.
        name: The key's full hash, a prefix of the hash with at least 8 characters, or its label.
        publish_id: Unique id of this change; empty to generate one.

    Returns:
        The first generation without the key.
    """

    def change(stored: StoredConfiguration, root: Root) -> ChangeError | str:
        matches = _find_keys(stored, name)
        if len(matches) != 1:
            detail = f"{len(matches)} active keys match {name!r}"
            return ChangeError(ChangeErrorKind.ABSENT, f"{detail}; see `hickoryloom keys list`")
        [(key, record)] = matches.items()
        stored.remove("keys", key)
        if not record.get("issued"):
            stored.put(WITHDRAWN, key, {"label": record["label"]})
        return root.documents

    return Publisher(client).apply(change, publish_id or new_publish_id())


def list_keys(client: Any) -> Result[tuple[KeyRecord, ...], ChangeError]:
    """Return all active keys, sorted by customer and label."""
    root_result = Publisher(client).read_root()
    return root_result.map(
        lambda version_and_root: _sorted_keys(client, version_and_root[1])
    ).map_err(lambda error: ChangeError(ChangeErrorKind.UNAVAILABLE, error.detail))


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
