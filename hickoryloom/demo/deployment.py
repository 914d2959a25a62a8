"""A deployment on loopback: stand-ins, a control process and entries as tasks of one process."""

from __future__ import annotations

from pathlib import Path

import attrs
import gevent
from result import Err

from hickoryloom.clock import SystemClock
from hickoryloom.config import Settings
from hickoryloom.configuration import (
    Documents,
    KeyRecord,
    Pool,
    PoolKind,
    StaticBackend,
    publish,
    read_documents,
)
from hickoryloom.control import Control, build_control
from hickoryloom.entry import Entry, build_entry
from hickoryloom.exceptions import ConfigurationError, UnavailableError
from hickoryloom.keys import hash_key, new_key
from hickoryloom.standins import (
    StandIn,
    build_engine,
    build_platform,
    build_service,
    register_backend,
)
from hickoryloom.store import PlatformClient

__all__ = ["Deployment"]

CREDENTIAL = "demo-backend-credential"
PEER_SECRET = "demo-peer-secret"
ENTRY_COUNT = 2
TOKEN_MS = 8.0
READY_TIMEOUT_S = 12.0
READY_POLL_S = 0.05
WINDOW_S = 5.0


class Deployment:
    """All components of one deployment, listening on loopback.

    Args:
        directory: Directory with the configuration documents.

    Raises:
        ConfigurationError: The documents are invalid.
    """

    def __init__(self, directory: Path) -> None:
        result = read_documents(directory)
        if isinstance(result, Err):
            raise ConfigurationError("\n".join(str(fault) for fault in result.err_value))
        self._documents: Documents = result.ok_value
        self._keys = {name: new_key() for name in self._documents.customers}
        self._platform = build_platform()
        self._backends: list[StandIn] = []
        self._entries: list[Entry] = []
        self._control: Control | None = None

    @property
    def documents(self) -> Documents:
        """The configuration documents; after `start` with the addresses of the stand-ins."""
        return self._documents

    @property
    def platform_address(self) -> str:
        """`host:port` of the platform stand-in."""
        return self._platform.address

    @property
    def entries(self) -> list[Entry]:
        """The entries that have been started."""
        return self._entries

    def get_key(self, customer: str) -> str:
        """Return the API key of a customer."""
        return self._keys[customer]

    def start(self) -> None:
        """Start the stand-ins, publish the documents, then start control and the entries.

        Raises:
            UnavailableError: Publishing failed, or the entries or their backend servers were not
                ready in time.
        """
        self._platform.start()
        self._start_backends()
        self._publish()
        self._control = build_control(self._settings("control"))
        self._control.start()
        for number in range(ENTRY_COUNT):
            entry = build_entry(self._settings(f"entry-{number + 1}"))
            self._entries.append(entry)
            entry.start()
        self._wait_for_backends()

    def stop(self) -> None:
        """Stop all components gracefully; the entries first complete their requests."""
        gevent.joinall([gevent.spawn(entry.stop) for entry in self._entries])
        if self._control is not None:
            self._control.stop()
        for backend in self._backends:
            backend.stop()
        self._platform.stop()

    def _start_backends(self) -> None:
        pools = {}
        for name, pool in self._documents.pools.items():
            pools[name] = pool
            if pool.kind is PoolKind.ENGINE:
                self._start_engines(pool)
            else:
                pools[name] = self._start_services(pool)
        self._documents = attrs.evolve(self._documents, pools=pools)

    def _start_engines(self, pool: Pool) -> None:
        for number in range(pool.max_servers):
            engine = build_engine(
                model=pool.model, slots=pool.slots, credential=CREDENTIAL, token_ms=TOKEN_MS
            )
            engine.start()
            self._backends.append(engine)
            cheap = pool.cheap and number % 2 == 1
            row = {
                "id": f"{pool.name}-{number + 1}",
                "address": engine.address,
                "failure_domain": pool.failure_domains[number % len(pool.failure_domains)],
                "pool": pool.name,
                "cheap": cheap,
                "state": "live",
            }
            register_backend(self._platform.address, row, spare=True)

    def _start_services(self, pool: Pool) -> Pool:
        servers = []
        for server in pool.servers:
            service = build_service(credential=CREDENTIAL)
            service.start()
            self._backends.append(service)
            servers.append(attrs.evolve(server, address=service.address))
        return attrs.evolve(pool, servers=tuple[StaticBackend, ...](servers))

    def _publish(self) -> None:
        keys = {
            hash_key(key): KeyRecord(hash_key(key), customer, f"{customer}-demo")
            for customer, key in self._keys.items()
        }
        documents = attrs.evolve(self._documents, keys=keys)
        client = PlatformClient(self._platform.address, SystemClock())
        result = publish(client, documents)
        if isinstance(result, Err):
            raise UnavailableError(f"publishing the documents failed: {result.err_value.detail}")

    def _settings(self, instance: str) -> Settings:
        return Settings(
            instance=instance,
            failure_domain=self._first_failure_domain(),
            platform=self._platform.address,
            backend_credential=CREDENTIAL,
            peer_secret=PEER_SECRET,
            window_s=WINDOW_S,
            drain_s=0.0,
        )

    def _first_failure_domain(self) -> str:
        return next(
            domain for pool in self._documents.pools.values() for domain in pool.failure_domains
        )

    def _wait_for_backends(self) -> None:
        with gevent.Timeout(READY_TIMEOUT_S, False):
            while not all(self._sees_all_pools(entry) for entry in self._entries):
                gevent.sleep(READY_POLL_S)
            return
        raise UnavailableError("the entries or their backend servers were not ready in time")

    def _sees_all_pools(self, entry: Entry) -> bool:
        pools = entry.status()["pools"]
        assert isinstance(pools, dict)
        return not entry.unready_reasons() and all(
            counts["backend_servers"] >= max(1, self._documents.pools[name].min_servers)
            for name, counts in pools.items()
        )
