"""Follower side: polls a reader of the failure domain and applies its updates."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import logbook
from result import Err, Ok, Result

from hickoryloom.catalog import CatalogFollower, Confirmation
from hickoryloom.clock import Clock
from hickoryloom.contention import Contention, build_inactive_contention
from hickoryloom.discovery import Discovery
from hickoryloom.evacuations import EvacuationFollower, EvacuationView
from hickoryloom.http import JsonClient, JsonResponse
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.placing import Placer
from hickoryloom.sharing.messages import Peer, Poll, ViewUpdate, encode_poll, read_update
from hickoryloom.sharing.readers import select_readers
from hickoryloom.sharing.sample import build_samples
from hickoryloom.sharing.server import VIEW_PATH

__all__ = ["ViewFollower"]

POLL_TIMEOUT_S = 0.4
"""Hundreds of round trips within a failure domain; a reader that takes longer is replaced."""

DIRECT_S = 3.0
"""Time for which the store is read directly after no reader was usable, if it can be read."""

SKIP_READER_S = 6.0
"""Time for which a reader that failed is not asked again."""

SKIP_STALE_S = 1.0
"""The same for a reader without a current view, as it reads more often once it is polled."""

EAGER_S = 1.0
EAGER_INTERVAL_S = 0.2
"""Time after the store's return in which readers are polled again and again, and the interval: the
readers list the registrations then, which spares the followers their own listings."""

IDLE_INTERVAL_S = 1.0
"""Interval for checking whether there is a reader to follow."""

JITTER = 0.1
"""Fraction by which poll intervals vary, so that followers don't poll in step."""

log = logbook.Logger("hickoryloom.sharing")

Connect = Callable[[str], JsonClient]


class ViewFollower:
    """Keeps the catalog and the registrations current from a reader's updates.

    While no reader is usable, both components read the store themselves.

    Args:
        key: Key of this process.
        failure_domain: Failure domain of this instance.
        clock: Source of time.
        rng: Source of jitter.
        catalog: Receives confirmations of the configuration's version.
        discovery: Receives changed registrations.
        placer: Provides this instance's samples, and receives those of other instances.
        must_read: Returns whether this instance has to read the store for followers of its own.
        connect: Builds the client of a reader's address.
        contention: The same of the work of customers; None for no exchange of it.
        evacuations: Receives views of the evacuated failure domains; None if there are none.
    """

    def __init__(
        self,
        key: str,
        failure_domain: str,
        clock: Clock,
        rng: Random,
        catalog: CatalogFollower,
        discovery: Discovery,
        placer: Placer,
        must_read: Callable[[], bool],
        connect: Connect | None = None,
        evacuations: EvacuationFollower | None = None,
        contention: Contention | None = None,
    ) -> None:
        self._evacuations = evacuations
        self._key = key
        self._failure_domain = failure_domain
        self._clock = clock
        self._rng = rng
        self._catalog = catalog
        self._discovery = discovery
        self._samples = build_samples(placer, contention or build_inactive_contention())
        self._must_read = must_read
        self._connect: Connect = connect or _connect
        self._readers: tuple[Peer, ...] = ()
        self._client: JsonClient | None = None
        self._reader: Peer | None = None
        self._epoch = ""
        self._sequence = 0
        self._skip_until: dict[str, float] = {}
        self._eager_until = 0.0
        self._direct_until = 0.0
        self._loop = TaskLoop(self._step, "view-follower", log)

    @property
    def reader(self) -> str:
        """Key of the reader that is followed; empty while the store is read directly."""
        return self._reader.key if self._reader is not None else ""

    @property
    def has_readers(self) -> bool:
        """Whether there are readers that this instance would follow."""
        return bool(self._readers)

    def retry_readers(self) -> None:
        """Poll the readers at once and often, since the store is back and they read it."""
        self._eager_until = self._clock.monotonic() + EAGER_S
        self._loop.wake()

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the known live instances."""
        self._readers = select_readers(self._key, self._failure_domain, peers)
        known = {reader.key for reader in self._readers}
        self._skip_until = {key: at for key, at in self._skip_until.items() if key in known}

    def start(self) -> None:
        """Start polling."""
        self._loop.start()

    def stop(self) -> None:
        """Stop polling; the store is read directly from then on."""
        self._loop.stop()
        self._follow(None, "stopped")

    @property
    def _interval_s(self) -> float:
        """Seconds between polls that keep all views recent enough."""
        interval_s = min(self._catalog.shared_interval_s, self._discovery.shared_interval_s)
        if self._evacuations is None:
            return interval_s
        return min(interval_s, self._evacuations.shared_interval_s)

    def _step(self) -> float:
        if self._must_read() or not self._readers:
            self._follow(None, "no reader needed")
            return IDLE_INTERVAL_S
        now = self._clock.monotonic()
        is_eager = now < self._eager_until
        reads_store = self._reader is None and self._discovery.follows_store
        if reads_store and not is_eager and now < self._direct_until:
            return min(self._interval_s, self._direct_until - now)
        # If the store can't be read either, a reader that has failed is the only source.
        is_skipping = not is_eager and (self._reader is not None or reads_store)
        usable = [
            peer
            for peer in self._readers
            if not is_skipping or self._skip_until.get(peer.key, 0.0) <= now
        ]
        for reader in usable:
            skip_s = self._poll(reader)
            if not skip_s:
                return self._pause_s()
            self._skip_until[reader.key] = self._clock.monotonic() + skip_s
        self._follow(None, "no usable reader")
        self._direct_until = self._clock.monotonic() + DIRECT_S
        return EAGER_INTERVAL_S if is_eager else self._pause_s()

    def _pause_s(self) -> float:
        return self._interval_s * (1 - JITTER * self._rng.random())

    def _poll(self, reader: Peer) -> float:
        """Poll a reader and apply its update.

        Returns:
            0 if the reader has a current view, otherwise the seconds for which to skip it.
        """
        if reader != self._reader:
            self._follow(reader, "selected")
        assert self._client is not None
        sent_at = self._clock.monotonic()
        samples = self._samples.to_send(reader.key, sent_at)
        body = encode_poll(Poll(self._key, self._epoch, self._sequence, samples))
        response = self._client.call("POST", VIEW_PATH, body, timeout_s=POLL_TIMEOUT_S)
        update = response.map_err(lambda error: error.detail).and_then(_read_response)
        if isinstance(update, Err):
            log_event(log, "reader-failed", reader=reader.key, detail=update.err_value)
            return SKIP_STALE_S if response.is_ok() else SKIP_READER_S
        return 0.0 if self._apply(update.ok_value, sent_at) else SKIP_STALE_S

    def _apply(self, update: ViewUpdate, sent_at: float) -> bool:
        """Apply an update; return False if its view is too old."""
        # The reader computed the age after `sent_at`, so its view is at least this recent.
        confirmed_at = sent_at - update.config_age_s
        confirmation = Confirmation(update.config_version, confirmed_at)
        is_current = self._discovery.learn_era(update.store_era)
        if is_current:
            self._apply_evacuations(update, sent_at)
        servers_at = sent_at - update.servers_age_s
        is_current = is_current and self._discovery.is_recent(servers_at)
        if not is_current or not self._catalog.apply_confirmation(confirmation):
            log_event(
                log,
                "reader-stale",
                reader=self.reader,
                config_age_s=update.config_age_s,
                servers_age_s=update.servers_age_s,
                store_era=update.store_era,
            )
            return False
        if update.complete or update.epoch != self._epoch or update.sequence != self._sequence:
            self._discovery.apply_shared(
                {shared.server.id: shared.server for shared in update.servers},
                {
                    shared.server.id: sent_at + shared.expires_in_s
                    for shared in update.servers
                    if shared.expires_in_s is not None
                },
                None if update.complete else update.removed,
            )
        self._discovery.confirm_shared(servers_at)
        self._samples.apply(self.reader, update.samples, sent_at, self._clock.monotonic())
        self._epoch = update.epoch
        self._sequence = update.sequence
        return True

    def _apply_evacuations(self, update: ViewUpdate, sent_at: float) -> None:
        shared = update.evacuations
        if self._evacuations is not None and shared is not None:
            view = EvacuationView(
                frozenset(shared.domains), shared.revision, sent_at - shared.age_s, self.reader
            )
            self._evacuations.apply_shared(view)

    def _follow(self, reader: Peer | None, reason: str) -> None:
        if reader == self._reader:
            return
        if self._client is not None:
            self._client.close()
        log_event(log, "reader-changed", reader=reader.key if reader else "", reason=reason)
        self._reader = reader
        self._client = None if reader is None else self._connect(reader.address)
        self._epoch = ""
        self._sequence = 0
        if reader is None:
            self._catalog.read_store()
            self._discovery.read_store()


def _connect(address: str) -> JsonClient:
    return JsonClient(address, timeout_s=POLL_TIMEOUT_S, connections=1)


def _read_response(response: JsonResponse) -> Result[ViewUpdate, str]:
    if response.status != 200:
        return Err(f"status {response.status}")
    update = read_update(response.body)
    return Ok(update.ok_value) if isinstance(update, Ok) else Err(update.err_value)
