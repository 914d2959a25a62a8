"""The configuration as stored in the platform, read one shard at a time on demand."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
from gevent.pool import Pool as GreenletPool
from result import Result

from hickoryloom.configuration.root import Root, RootChange, trim_changes
from hickoryloom.configuration.shards import (
    StoredRecord,
    count_shards,
    digest_of,
    object_key,
    section_of,
    shard_name,
    size_of,
    split_section,
)
from hickoryloom.store import PlatformError, Versioned

__all__ = ["Plan", "ShardTooLargeError", "StoredConfiguration", "UnreadableError"]

PARALLEL_READS = 8
MAX_SHARD_BYTES = 512 * 1024
RESPLIT_ABOVE_BYTES = 256 * 1024


class UnreadableError(Exception):
    """A shard could not be read.

    Attributes:
        error: Error of the platform call.
    """

    def __init__(self, error: PlatformError) -> None:
        super().__init__(error.detail)
        self.error = error


class ShardTooLargeError(Exception):
    """A single record is too large to be stored."""


@attrs.frozen
class Plan:
    """A new root, the shards to write before it and the shards that it makes obsolete.

    Attributes:
        root: The root to commit.
        writes: Content of new shards by object key.
        obsolete_keys: Object keys that the current root references and the new one does not.
    """

    root: Root
    writes: dict[str, dict[str, StoredRecord]]
    obsolete_keys: tuple[str, ...]


class StoredConfiguration:
    """Records of one generation, fetched on first use, with pending changes kept separately.

    Args:
        client: The platform's client; only `get` is used.
        root: The current root.
    """

    def __init__(self, client: Any, root: Root) -> None:
        self._client = client
        self._root = root
        self._loaded: dict[str, dict[str, StoredRecord]] = {}
        self._updated: dict[str, dict[str, StoredRecord]] = {}
        self._removed: dict[str, set[str]] = {}
        self._counts = {section_of(name)[0]: section_of(name)[1] for name in root.shards}

    @property
    def changed(self) -> bool:
        """Whether there are pending changes."""
        return bool(any(self._updated.values()) or any(self._removed.values()))

    def get(self, section: str, key: str) -> StoredRecord | None:
        """Return one record, reading only its shard.

        Raises:
            UnreadableError: The shard could not be read.
        """
        if key in self._updated.get(section, {}):
            return self._updated[section][key]
        if key in self._removed.get(section, ()):
            return None
        return self._stored_record(section, key)

    def section(self, section: str) -> dict[str, StoredRecord]:
        """Return all records of a section.

        Raises:
            UnreadableError: A shard could not be read.
        """
        names = [name for name in self._root.shards if section_of(name)[0] == section]
        missing = [name for name in names if name not in self._loaded]
        for _ in GreenletPool(PARALLEL_READS).imap_unordered(self._fetch_shard, missing):
            pass
        records: dict[str, StoredRecord] = {}
        for name in names:
            records.update(self._loaded[name])
        for key in self._removed.get(section, ()):
            records.pop(key, None)
        records.update(self._updated.get(section, {}))
        return records

    def put(self, section: str, key: str, record: StoredRecord) -> None:
        """Add or change one record."""
        self._removed.get(section, set()).discard(key)
        if self._stored_record(section, key) == record:
            self._updated.get(section, {}).pop(key, None)
        else:
            self._updated.setdefault(section, {})[key] = record

    def remove(self, section: str, key: str) -> None:
        """Remove one record."""
        self._updated.get(section, {}).pop(key, None)
        if self._stored_record(section, key) is not None:
            self._removed.setdefault(section, set()).add(key)

    def replace(self, section: str, records: Mapping[str, StoredRecord]) -> None:
        """Replace all records of a section with `records`."""
        for key in self.section(section):
            if key not in records:
                self.remove(section, key)
        for key, record in records.items():
            self.put(section, key, record)

    def plan(self, publish_id: str, documents: str, after_generation: int = 0) -> Plan:
        """Return the plan that commits the pending changes as the next generation.

        Args:
            publish_id: Unique id of this change.
            documents: Digest of the documents, for the root.
            after_generation: Generation that the new one must exceed.

        Raises:
            ShardTooLargeError: A shard would exceed its maximum size.
            UnreadableError: A shard could not be read.
        """
        generation = max(self._root.generation, after_generation) + 1
        contents = self._changed_shards()
        references = dict(self._root.shards)
        writes: dict[str, dict[str, StoredRecord]] = {}
        for name, content in contents.items():
            section, count = section_of(name)
            for old in [old for old in references if self._has_other_count(old, section, count)]:
                del references[old]
            digest = digest_of(content)
            if references.get(name, "").partition("-")[2] == digest:
                continue
            references[name] = f"{generation}-{digest}"
            writes[object_key(name, references[name])] = content
        root = Root(generation, publish_id, documents, references)
        change = RootChange(
            generation,
            publish_id,
            self._root.publish_id,
            self._changed_records(),
            self._removed_keys(),
        )
        root = attrs.evolve(root, changes=trim_changes((*self._root.changes, change)))
        return Plan(root, writes, self._obsolete_keys(references))

    def _changed_shards(self) -> dict[str, dict[str, StoredRecord]]:
        contents: dict[str, dict[str, StoredRecord]] = {}
        for section in {*self._updated, *self._removed}:
            if self._updated.get(section) or self._removed.get(section):
                contents.update(self._section_contents(section))
        for name, content in contents.items():
            if (size := size_of(content)) > MAX_SHARD_BYTES:
                raise ShardTooLargeError(
                    f"shard {name} would be {size} bytes, more than {MAX_SHARD_BYTES}"
                )
        return contents

    def _section_contents(self, section: str) -> dict[str, dict[str, StoredRecord]]:
        count = self._counts.get(section, 0)
        changed_contents = self._changed_contents(section)
        if not self._may_need_resharding(section, changed_contents):
            return changed_contents
        records = self.section(section)
        new_count = count_shards(records, count)
        return (
            changed_contents if new_count == count else split_section(section, new_count, records)
        )

    def _may_need_resharding(
        self, section: str, changed_contents: Mapping[str, Mapping[str, StoredRecord]]
    ) -> bool:
        names = [name for name in self._root.shards if section_of(name)[0] == section]
        if all(name in self._loaded for name in names):
            return True
        return any(size_of(content) > RESPLIT_ABOVE_BYTES for content in changed_contents.values())

    def _changed_contents(self, section: str) -> dict[str, dict[str, StoredRecord]]:
        count = self._counts.get(section, 0)
        contents: dict[str, dict[str, StoredRecord]] = {}
        if not count:
            return contents
        for key in (*self._updated.get(section, {}), *self._removed.get(section, ())):
            name = shard_name(section, count, key)
            content = contents.setdefault(name, dict(self._load_shard(name)))
            if key in self._removed.get(section, ()):
                content.pop(key, None)
            else:
                content[key] = self._updated[section][key]
        return contents

    def _has_other_count(self, name: str, section: str, count: int) -> bool:
        other_section, other_count = section_of(name)
        return other_section == section and other_count != count

    def _changed_records(self) -> dict[str, dict[str, StoredRecord]]:
        return {section: dict(records) for section, records in self._updated.items() if records}

    def _removed_keys(self) -> dict[str, list[str]]:
        return {section: sorted(keys) for section, keys in self._removed.items() if keys}

    def _obsolete_keys(self, references: Mapping[str, str]) -> tuple[str, ...]:
        new = {object_key(name, reference) for name, reference in references.items()}
        old = (object_key(name, reference) for name, reference in self._root.shards.items())
        return tuple(key for key in old if key not in new)

    def _stored_record(self, section: str, key: str) -> StoredRecord | None:
        count = self._counts.get(section, 0)
        return self._load_shard(shard_name(section, count, key)).get(key) if count else None

    def _load_shard(self, name: str) -> dict[str, StoredRecord]:
        if name not in self._loaded:
            self._fetch_shard(name)
        return self._loaded[name]

    def _fetch_shard(self, name: str) -> None:
        result: Result[Versioned[Any], PlatformError]
        result = self._client.get(object_key(name, self._root.shards[name]))
        if result.is_err():
            raise UnreadableError(result.unwrap_err())
        self._loaded[name] = result.unwrap().value
