"""In-memory object store with fault injection."""

from __future__ import annotations

import copy

import attrs
from result import Err, Ok

from hickoryloom.store import ErrorKind, Listing, PlatformError, Versioned
from hickoryloom.verdict import Applied

CONFLICT = PlatformError(ErrorKind.CONFLICT, Applied.NOT_APPLIED)
ABSENT = PlatformError(ErrorKind.ABSENT, Applied.NOT_APPLIED)
DOWN = PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED)
LOST = PlatformError(ErrorKind.UNAVAILABLE, Applied.UNKNOWN)
REJECTED = PlatformError(ErrorKind.REJECTED, Applied.NOT_APPLIED)


@attrs.define
class MemoryStore:
    """Versioned objects in memory.

    Attributes:
        objects: Version and value by key.
        down: Whether every call fails without effect.
        lose_answers: Number of upcoming writes that take effect but whose response is lost.
        writes: Number of write calls.
        reads: Number of read calls.
    """

    objects: dict = attrs.field(factory=dict)
    down: bool = False
    lose_answers: int = 0
    writes: int = 0
    reads: int = 0

    def get(self, key):
        self.reads += 1
        if self.down:
            return Err(DOWN)
        if key not in self.objects:
            return Err(ABSENT)
        version, value = self.objects[key]
        return Ok(Versioned(key, version, copy.deepcopy(value)))

    def list(self, prefix):
        self.reads += 1
        if self.down:
            return Err(DOWN)
        items = tuple(
            Versioned(key, version, copy.deepcopy(value))
            for key, (version, value) in sorted(self.objects.items())
            if key.startswith(prefix)
        )
        return Ok(Listing(self.writes, items))

    def create(self, key, value, guard=None):
        return self._write(key, value, 0, guard)

    def update(self, key, value, if_version, guard=None):
        return self._write(key, value, if_version, guard)

    def delete(self, key, if_version):
        self.writes += 1
        if self.down:
            return Err(DOWN)
        if self.objects.get(key, (0, None))[0] != if_version:
            return Err(CONFLICT)
        del self.objects[key]
        return Ok(None)

    def _write(self, key, value, if_version, guard):
        self.writes += 1
        if self.down:
            return Err(DOWN)
        if guard is not None and not guard():
            return Err(REJECTED)
        if self.objects.get(key, (0, None))[0] != if_version:
            return Err(CONFLICT)
        self.objects[key] = (if_version + 1, copy.deepcopy(value))
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(LOST)
        return Ok(Versioned(key, if_version + 1, value))
