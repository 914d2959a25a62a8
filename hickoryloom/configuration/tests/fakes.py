"""An in-memory platform that injects faults into publishing and following."""

from __future__ import annotations

import copy

import gevent
from gevent.event import Event
from result import Err, Ok

from hickoryloom.store import Change, ErrorKind, Listing, PlatformError, Versioned, WatchBatch
from hickoryloom.verdict import Applied

UNAVAILABLE = PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED, "down")
RESPONSE_LOST = PlatformError(ErrorKind.UNAVAILABLE, Applied.UNKNOWN, "response lost")


class FakePlatform:
    """Stores versioned objects; `before_write` lets a test act between a read and a write."""

    def __init__(self):
        self.objects = {}
        self.log = []
        self.down = False
        self.responses_to_lose = 0
        self.calls = {"get": 0, "list": 0, "watch": 0, "write": 0}
        self.before_write = lambda key: None
        self._changed = Event()

    @property
    def revision(self):
        return len(self.log)

    def get(self, key):
        self.calls["get"] += 1
        if self.down:
            return Err(UNAVAILABLE)
        if key not in self.objects:
            return Err(PlatformError(ErrorKind.ABSENT, Applied.NOT_APPLIED, f"no {key}"))
        return Ok(copy.deepcopy(self.objects[key]))

    def list(self, prefix):
        self.calls["list"] += 1
        if self.down:
            return Err(UNAVAILABLE)
        items = [copy.deepcopy(v) for k, v in sorted(self.objects.items()) if k.startswith(prefix)]
        return Ok(Listing(self.revision, tuple(items)))

    def create(self, key, value, guard=None):
        return self._write(key, value, 0)

    def update(self, key, value, if_version, guard=None):
        return self._write(key, value, if_version)

    def delete(self, key, if_version):
        if self.down:
            return Err(UNAVAILABLE)
        stored = self.objects.get(key)
        if stored is None or stored.version != if_version:
            return Err(PlatformError(ErrorKind.CONFLICT, Applied.NOT_APPLIED))
        del self.objects[key]
        self._append(Change(key, if_version, None))
        return Ok(None)

    def watch(self, prefix, since, timeout_s):
        self.calls["watch"] += 1
        with gevent.Timeout(timeout_s, False):
            while not self.down and not self._changes(prefix, since):
                self._changed.clear()
                self._changed.wait()
        if self.down:
            return Err(UNAVAILABLE)
        return Ok(WatchBatch(self.revision, tuple(self._changes(prefix, since))))

    def set_down(self, down):
        self.down = down
        self._changed.set()

    def _changes(self, prefix, since):
        return [copy.deepcopy(c) for c in self.log[since:] if c.key.startswith(prefix)]

    def _write(self, key, value, if_version):
        self.calls["write"] += 1
        self.before_write(key)
        if self.down:
            return Err(UNAVAILABLE)
        stored = self.objects.get(key)
        if (stored.version if stored else 0) != if_version:
            return Err(PlatformError(ErrorKind.CONFLICT, Applied.NOT_APPLIED, "conflict"))
        self.objects[key] = Versioned(key, if_version + 1, copy.deepcopy(value))
        self._append(Change(key, if_version + 1, copy.deepcopy(value)))
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return Err(RESPONSE_LOST)
        return Ok(self.objects[key])

    def _append(self, change):
        self.log.append(change)
        self._changed.set()
