"""An in-memory object store that replaces the platform, and entry processes on loopback."""

import attrs
import falcon
from result import Err, Ok

from hickoryloom.clock import SystemClock
from hickoryloom.config import Settings
from hickoryloom.http import Server
from hickoryloom.membership import Heartbeat, Membership
from hickoryloom.store.messages import ErrorKind, Listing, PlatformError, Versioned
from hickoryloom.verdict import Applied
from tests.harness import Link


@attrs.define
class MemoryStore:
    items: dict = attrs.field(factory=dict)
    down: bool = False

    def _fail(self, kind):
        return Err(PlatformError(kind, Applied.NOT_APPLIED))

    def get(self, key):
        if self.down:
            return self._fail(ErrorKind.UNAVAILABLE)
        found = self.items.get(key)
        return Ok(found) if found else self._fail(ErrorKind.ABSENT)

    def list(self, prefix):
        if self.down:
            return self._fail(ErrorKind.UNAVAILABLE)
        return Ok(Listing(1, tuple(v for k, v in self.items.items() if k.startswith(prefix))))

    def create(self, key, value):
        return self.update(key, value, 0)

    def update(self, key, value, if_version):
        if self.down:
            return self._fail(ErrorKind.UNAVAILABLE)
        current = self.items.get(key)
        if (current.version if current else 0) != if_version:
            return self._fail(ErrorKind.CONFLICT)
        self.items[key] = Versioned(key, if_version + 1, value)
        return Ok(self.items[key])

    def delete(self, key, if_version):
        if self.down:
            return self._fail(ErrorKind.UNAVAILABLE)
        current = self.items.get(key)
        if current is None or current.version != if_version:
            return self._fail(ErrorKind.CONFLICT)
        del self.items[key]
        return Ok(None)


class Node:
    """Membership of one entry process behind a real HTTP server."""

    def __init__(self, name, store, seeds=(), secret="s"):
        app = falcon.App()
        self.pools = {}
        self.server = Server(app, "127.0.0.1:0")
        self.server.start()
        self.link = Link(self.server.address)
        self.address = self.link.address
        settings = Settings(
            instance=name,
            failure_domain="d",
            platform="",
            advertise=self.address,
            seeds=seeds,
            peer_secret=secret,
        )
        self.membership = Membership(settings, name, SystemClock(), store, self.build)
        self.membership.add_routes(app)
        self.name = name

    def build(self):
        return Heartbeat(self.name, self.address, "d", 1, 0, 0.0, pools=dict(self.pools))

    def names(self):
        return {peer.heartbeat.incarnation for peer in self.membership.peers()}

    def close(self):
        self.membership.stop()
        self.link.close()
        self.server.close()
