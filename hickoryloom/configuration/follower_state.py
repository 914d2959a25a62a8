"""Holds the current generation and assembles the next one."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from hickoryloom.configuration.root import Root, RootChange, changes_between
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

__all__ = ["FollowerState", "LoadedShard", "decode_shard"]

RECORDS_PER_YIELD = 40


@attrs.frozen
class LoadedShard:
    """A shard that was read: its reference in the root and its decoded records."""

    reference: str
    records: Mapping[str, Any]


class FollowerState:
    """Applies complete generations and never an older one; does no I/O and reads no clock.

    A generation is applied either from the changes listed in its root or from its shards. An older
    root, from a stale read, a peer or a restored connection, is ignored.
    """

    def __init__(self) -> None:
        self._snapshot = EMPTY_SNAPSHOT
        self._root: Root | None = None
        self._loaded: dict[str, LoadedShard] = {}

    @property
    def snapshot(self) -> Snapshot:
        """The current generation."""
        return self._snapshot

    @property
    def root(self) -> Root | None:
        """The root of the current generation."""
        return self._root

    def is_newer(self, root: Root) -> bool:
        """Return whether the root has a later generation than the current one."""
        return root.generation > self._snapshot.generation

    def apply_changes(self, root: Root) -> bool:
        """Apply a root from the changes listed in it.

        Returns:
            Whether it was applied; False if shards are needed or the root is not newer.
        """
        if not self.is_newer(root) or self._root is None:
            return False
        changes = changes_between(root, self._root)
        if changes is None:
            return False
        changed = _changed_keys(changes)
        sections = {section: dict(getattr(self._snapshot, section)) for section in changed}
        for change in changes:
            _apply_change(change, sections)
        self._loaded = _rebuild_shards(self._loaded, root, sections, changed)
        changed_from = self._snapshot.generation
        self._activate(root, sections, changed_from, frozenset(changed.get("keys", ())))
        return True

    def missing(self, root: Root, fetched: Mapping[str, LoadedShard]) -> list[str]:
        """Return the names of shards needed for `root` that are neither loaded nor fetched."""
        return [
            name
            for name, reference in root.shards.items()
            if section_of(name)[0] in SECTION_KINDS
            and not _same_content(self._loaded.get(name), reference)
            and not _same_content(fetched.get(name), reference)
        ]

    def apply_shards(self, root: Root, fetched: Mapping[str, LoadedShard]) -> bool:
        """Apply a root whose shards are all loaded or fetched.

        Returns:
            Whether it was applied.
        """
        if not self.is_newer(root) or self.missing(root, fetched):
            return False
        loaded: dict[str, LoadedShard] = {}
        for name, reference in root.shards.items():
            if section_of(name)[0] in SECTION_KINDS:
                is_fetched = _same_content(fetched.get(name), reference)
                records = (fetched[name] if is_fetched else self._loaded[name]).records
                loaded[name] = LoadedShard(reference, records)
        sections: dict[str, dict[str, Any]] = {section: {} for section in SECTION_KINDS}
        for name, shard in loaded.items():
            sections[section_of(name)[0]].update(shard.records)
        self._loaded = loaded
        self._activate(root, sections, -1, frozenset())
        return True

    def shard_content(self, name: str) -> dict[str, StoredRecord] | None:
        """Return the stored form of a loaded shard, for a peer, or None."""
        shard = self._loaded.get(name)
        if shard is None:
            return None
        return {key: encode_record(record) for key, record in shard.records.items()}

    def _activate(
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


def decode_shard(
    name: str, reference: str, content: Any, yield_control: Callable[[], object] = lambda: None
) -> LoadedShard:
    """Verify a shard's content against its reference and decode its records.

    Args:
        name: Name of the shard.
        reference: Its generation and digest, from the root.
        content: The JSON value read.
        yield_control: Called every few records, so that other tasks can run.

    Raises:
        ValueError: The content does not match the digest of the reference or is malformed.
    """
    if not isinstance(content, dict) or digest_of(content) != reference.partition("-")[2]:
        raise ValueError(f"shard {name} does not match the digest of reference {reference}")
    section = section_of(name)[0]
    records = {}
    for number, (key, stored) in enumerate(content.items()):
        if number % RECORDS_PER_YIELD == 0:
            yield_control()
        records[key] = decode_record(section, key, stored)
    return LoadedShard(reference, records)


def _same_content(shard: LoadedShard | None, reference: str) -> bool:
    return shard is not None and shard.reference.partition("-")[2] == reference.partition("-")[2]


def _changed_keys(changes: Iterable[RootChange]) -> dict[str, set[str]]:
    changed: dict[str, set[str]] = {}
    for change in changes:
        for section, records in (change.put or {}).items():
            changed.setdefault(section, set()).update(records)
        for section, keys in change.removed.items():
            changed.setdefault(section, set()).update(keys)
    return {section: keys for section, keys in changed.items() if section in SECTION_KINDS}


def _apply_change(change: RootChange, sections: Mapping[str, dict[str, Any]]) -> None:
    for section, records in (change.put or {}).items():
        if section in sections:
            for key, stored in records.items():
                sections[section][key] = decode_record(section, key, stored)
    for section, keys in change.removed.items():
        if section in sections:
            for key in keys:
                sections[section].pop(key, None)


def _rebuild_shards(
    loaded: Mapping[str, LoadedShard],
    root: Root,
    sections: Mapping[str, Mapping[str, Any]],
    changed: Mapping[str, set[str]],
) -> dict[str, LoadedShard]:
    rebuilt: dict[str, LoadedShard] = {}
    names = [name for name in root.shards if section_of(name)[0] in SECTION_KINDS]
    for name in names:
        records = loaded[name].records if name in loaded else {}
        rebuilt[name] = LoadedShard(root.shards[name], records)
    for section, keys in changed.items():
        counts = {section_of(name)[1] for name in names if section_of(name)[0] == section}
        is_resharded = any(f"{section}-{count}-0" not in loaded for count in counts)
        for count in counts:
            _update_shards(rebuilt, section, count, sections[section], keys, is_resharded)
    return rebuilt


def _update_shards(
    rebuilt: dict[str, LoadedShard],
    section: str,
    count: int,
    records: Mapping[str, Any],
    keys: set[str],
    is_resharded: bool,
) -> None:
    updated: dict[str, dict[str, Any]] = {}
    for key in records if is_resharded else keys:
        name = shard_name(section, count, key)
        content = updated.setdefault(name, dict(rebuilt[name].records))
        if key in records:
            content[key] = records[key]
        else:
            content.pop(key, None)
    for name, content in updated.items():
        rebuilt[name] = LoadedShard(rebuilt[name].reference, content)
