"""Which generation is in force here, and how the next one is put together."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from hickoryloom.configuration.root import Root, RootChange, covering_changes
from hickoryloom.configuration.shards import (
    SECTION_KINDS,
    StoredRecord,
    decode_record,
    digest_of,
    encode_record,
    section_of,
    shard_name,
)
from hickoryloom.configuration.snapshot import EMPTY_SNAPSHOT, Snapshot

__all__ = ["FollowerState", "HeldShard", "read_shard"]

RECORDS_BETWEEN_PAUSES = 40


@attrs.frozen
class HeldShard:
    """A shard that has been read: its reference in the root and its records."""

    reference: str
    records: Mapping[str, Any]


class FollowerState:
    """Applies whole generations, never an older one; no sockets and no clock.

    A generation is applied either from the changes that its root tells, or from its shards. An
    older root, from a stale read, a peer or a restored connection, changes nothing.
    """

    def __init__(self) -> None:
        self._snapshot = EMPTY_SNAPSHOT
        self._root: Root | None = None
        self._held: dict[str, HeldShard] = {}

    @property
    def snapshot(self) -> Snapshot:
        """The generation in force."""
        return self._snapshot

    @property
    def root(self) -> Root | None:
        """The root of the generation in force."""
        return self._root

    def is_newer(self, root: Root) -> bool:
        """Return whether the root is of a later generation than the one in force."""
        return root.generation > self._snapshot.generation

    def apply_changes(self, root: Root) -> bool:
        """Apply a root by the changes that it tells.

        Returns:
            Whether it is in force now; False when shards are needed, or when it is not newer.
        """
        if not self.is_newer(root) or self._root is None:
            return False
        changes = covering_changes(root, self._root)
        if changes is None:
            return False
        touched = _touched_keys(changes)
        sections = {section: dict(getattr(self._snapshot, section)) for section in touched}
        for change in changes:
            _apply_change(change, sections)
        self._held = _regroup(self._held, root, sections, touched)
        changed_from = self._snapshot.generation
        self._put_in_force(root, sections, changed_from, frozenset(touched.get("keys", ())))
        return True

    def missing(self, root: Root, fetched: Mapping[str, HeldShard]) -> list[str]:
        """Return the names of shards that are needed for `root` and neither held nor fetched."""
        return [
            name
            for name, reference in root.shards.items()
            if section_of(name)[0] in SECTION_KINDS
            and not _same_content(self._held.get(name), reference)
            and not _same_content(fetched.get(name), reference)
        ]

    def apply_shards(self, root: Root, fetched: Mapping[str, HeldShard]) -> bool:
        """Apply a root of which all shards are held or fetched.

        Returns:
            Whether it is in force now.
        """
        if not self.is_newer(root) or self.missing(root, fetched):
            return False
        held: dict[str, HeldShard] = {}
        for name, reference in root.shards.items():
            if section_of(name)[0] in SECTION_KINDS:
                same = _same_content(fetched.get(name), reference)
                records = (fetched[name] if same else self._held[name]).records
                held[name] = HeldShard(reference, records)
        sections: dict[str, dict[str, Any]] = {section: {} for section in SECTION_KINDS}
        for name, shard in held.items():
            sections[section_of(name)[0]].update(shard.records)
        self._held = held
        self._put_in_force(root, sections, -1, frozenset())
        return True

    def shard_content(self, name: str) -> dict[str, StoredRecord] | None:
        """Return the stored form of a held shard, for a peer, or None."""
        shard = self._held.get(name)
        if shard is None:
            return None
        return {key: encode_record(record) for key, record in shard.records.items()}

    def _put_in_force(
        self,
        root: Root,
        sections: Mapping[str, Mapping[str, Any]],
        changed_from: int,
        changed_keys: frozenset[str],
    ) -> None:
        self._root = root
        self._snapshot = attrs.evolve(
            self._snapshot,
            generation=root.generation,
            changed_from=changed_from,
            changed_keys=changed_keys,
            **sections,
        )


def read_shard(
    name: str, reference: str, content: Any, pause: Callable[[], object] = lambda: None
) -> HeldShard:
    """Check a shard's content against its reference and build its records.

    Args:
        name: Name of the shard.
        reference: Its generation and digest, from the root.
        content: The JSON value read.
        pause: Called every few records, to let other tasks go on.

    Raises:
        ValueError: The content is not what the reference names.
    """
    if not isinstance(content, dict) or digest_of(content) != reference.partition("-")[2]:
        raise ValueError(f"shard {name} is not of digest {reference}")
    section = section_of(name)[0]
    records = {}
    for number, (key, stored) in enumerate(content.items()):
        if number % RECORDS_BETWEEN_PAUSES == 0:
            pause()
        records[key] = decode_record(section, key, stored)
    return HeldShard(reference, records)


def _same_content(shard: HeldShard | None, reference: str) -> bool:
    return shard is not None and shard.reference.partition("-")[2] == reference.partition("-")[2]


def _touched_keys(changes: Iterable[RootChange]) -> dict[str, set[str]]:
    touched: dict[str, set[str]] = {}
    for change in changes:
        for section, records in (change.put or {}).items():
            touched.setdefault(section, set()).update(records)
        for section, keys in change.removed.items():
            touched.setdefault(section, set()).update(keys)
    return {section: keys for section, keys in touched.items() if section in SECTION_KINDS}


def _apply_change(change: RootChange, sections: Mapping[str, dict[str, Any]]) -> None:
    for section, records in (change.put or {}).items():
        if section in sections:
            for key, stored in records.items():
                sections[section][key] = decode_record(section, key, stored)
    for section, keys in change.removed.items():
        if section in sections:
            for key in keys:
                sections[section].pop(key, None)


def _regroup(
    held: Mapping[str, HeldShard],
    root: Root,
    sections: Mapping[str, Mapping[str, Any]],
    touched: Mapping[str, set[str]],
) -> dict[str, HeldShard]:
    grouped: dict[str, HeldShard] = {}
    names = [name for name in root.shards if section_of(name)[0] in SECTION_KINDS]
    for name in names:
        kept = held[name].records if name in held else {}
        grouped[name] = HeldShard(root.shards[name], kept)
    for section, keys in touched.items():
        counts = {section_of(name)[1] for name in names if section_of(name)[0] == section}
        is_new_count = any(f"{section}-{count}-0" not in held for count in counts)
        for count in counts:
            _move_records(grouped, section, count, sections[section], keys, is_new_count)
    return grouped


def _move_records(
    grouped: dict[str, HeldShard],
    section: str,
    count: int,
    records: Mapping[str, Any],
    keys: set[str],
    is_new_count: bool,
) -> None:
    fresh: dict[str, dict[str, Any]] = {}
    for key in records if is_new_count else keys:
        name = shard_name(section, count, key)
        content = fresh.setdefault(name, dict(grouped[name].records))
        if key in records:
            content[key] = records[key]
        else:
            content.pop(key, None)
    for name, content in fresh.items():
        grouped[name] = HeldShard(grouped[name].reference, content)
