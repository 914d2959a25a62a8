"""Counts an entry process's usage and writes it, and failed peers' copies, to the platform."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs
import falcon
import gevent
import logbook
from gevent.event import Event
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.http import JsonClient, bearer_headers, has_bearer_token
from hickoryloom.leases import ObjectStore
from hickoryloom.logs import log_event
from hickoryloom.loops import repeat_until
from hickoryloom.membership import Peer
from hickoryloom.store import ErrorKind
from hickoryloom.usage.chain import ChainRead, ChainWrite, ChainWriter
from hickoryloom.usage.codec import decode_as, decode_with_rows
from hickoryloom.usage.copies import PeerCopies
from hickoryloom.usage.copy_peer import choose_copy_peer
from hickoryloom.usage.figures import Figures
from hickoryloom.usage.ledger import UsageLedger, UsagePart
from hickoryloom.usage.messages import UsageCopy, UsageKey, UsageObject, UsageTimes, UsageTotals

__all__ = ["UsageCounter"]

STOP_TIMEOUT_S = 5.0
STOP_RETRY_INTERVAL_S = 0.2
MAX_CALLS_PER_ATTEMPT = 16
COPY_CALL_TIMEOUT_S = 1.0
COPY_PATH = "/peer/usage"

log = logbook.Logger("hickoryloom.usage")


class UsageCounter:
    """Counts the usage served by this entry process.

    A crash loses at most the usage added since the last copy to a peer.

    Args:
        client: Platform client.
        clock: Source of monotonic and wall-clock time.
        incarnation: Incarnation of this process.
        window_s: Length of a window in seconds.
        peers: Returns the live peers that may hold copies.
        failure_domain: Failure domain of this process; a peer in another one is preferred.
        peer_secret: Token by which entry processes authenticate to each other; empty for none.
    """

    def __init__(
        self,
        client: ObjectStore,
        clock: Clock,
        incarnation: str,
        window_s: float,
        peers: Callable[[], Sequence[Peer]] = tuple,
        failure_domain: str = "",
        peer_secret: str = "",
    ) -> None:
        self._client = client
        self._clock = clock
        self._incarnation = incarnation
        self._times = UsageTimes.for_window(window_s)
        self._peers = peers
        self._failure_domain = failure_domain
        self._headers = bearer_headers(peer_secret)
        self._peer_secret = peer_secret
        self._ledger = UsageLedger(incarnation, self._times)
        self._copies = PeerCopies(self._times)
        self._copy_peer: tuple[str, JsonClient] | None = None
        self._stopping = Event()
        self._tasks: list[gevent.Greenlet] = []

    @property
    def unsettled_parts(self) -> int:
        """Number of own parts that the platform has not stored completely."""
        return sum(1 for part in self._ledger.parts if not part.is_stored)

    @property
    def held_copies(self) -> int:
        """Number of copies held for other entry processes."""
        return len(self._copies)

    def add(self, key: UsageKey, totals: UsageTotals, request_id: str = "") -> None:
        """Count one request; a recently counted request id is not counted again."""
        self._ledger.add(self._clock.monotonic(), self._clock.wall(), key, totals, request_id)

    def start(self) -> None:
        """Start the tasks that write and copy figures."""
        self._tasks = [gevent.spawn(self._run_writes), gevent.spawn(self._run_copies)]

    def stop(self) -> bool:
        """Write all figures to the platform or else copy them; return whether all were written."""
        self._stopping.set()
        gevent.joinall(self._tasks)
        with gevent.Timeout(STOP_TIMEOUT_S, False):
            self._flush()
            while self.unsettled_parts or len(self._copies):
                gevent.sleep(STOP_RETRY_INTERVAL_S)
                self._flush()
        if self.unsettled_parts:
            self._send_copies()
        log_event(log, "usage-flushed", unsettled_parts=self.unsettled_parts)
        return self.unsettled_parts == 0

    def add_routes(self, app: falcon.App) -> None:
        """Add the route on which peers send copies."""
        app.add_route(COPY_PATH, _CopyResource(self, self._peer_secret))

    def accept_copy(self, copy: UsageCopy) -> int:
        """Store a peer's copy and return the sequence number held; 0 requests all figures."""
        return self._copies.apply_copy(self._clock.monotonic(), copy)

    def _run_writes(self) -> None:
        repeat_until(self._stopping, self._write_due, "usage-writes", log)

    def _run_copies(self) -> None:
        repeat_until(self._stopping, self._send_copies, "usage-copies", log)

    def _write_due(self) -> float:
        """Write at most one own part and one held copy; return the seconds until the next run."""
        now = self._clock.monotonic()
        for part in self._ledger.due_parts(now, self._clock.wall())[:1]:
            part.last_write_at = now
            self._store_figures(part.writer, part.figures, part.advance_sequence())
        for held in self._copies.due_copies(now)[:1]:
            self._store_figures(held.writer, held.figures, held.sequence)
        self._drop_stored(now)
        return self._times.min_write_interval_s

    def _flush(self) -> None:
        for part in self._ledger.parts:
            if not part.is_stored:
                self._store_figures(part.writer, part.figures, part.advance_sequence())
        now = self._clock.monotonic()
        for held in self._copies.due_copies(now, include_all=True):
            self._store_figures(held.writer, held.figures, held.sequence)
        self._drop_stored(now)

    def _drop_stored(self, now: float) -> None:
        for part in self._ledger.drop_stored(now, self._clock.wall()):
            log_event(log, "usage-given-up", window=part.writer.window, source=part.writer.source)
        self._copies.drop_stored(now)

    def _store_figures(self, writer: ChainWriter, figures: Figures, sequence: int) -> None:
        """Make calls until the platform holds `sequence`, or until one fails."""
        figures = dict(figures)
        for _ in range(MAX_CALLS_PER_ATTEMPT):
            call = writer.next_call(figures, sequence)
            if call is None:
                return
            if isinstance(call, ChainRead):
                should_continue = self._read(writer, call)
            else:
                should_continue = self._write(writer, call)
            if not should_continue:
                return

    def _read(self, writer: ChainWriter, call: ChainRead) -> bool:
        result = self._client.get(call.key)
        if isinstance(result, Err):
            if result.err_value.kind is not ErrorKind.ABSENT:
                return False
            writer.on_read_absent()
            return not writer.must_read
        value = decode_with_rows(UsageObject, result.ok_value.value)
        if isinstance(value, Err):
            log_event(log, "usage-unreadable", key=call.key, fault=value.err_value)
            return False
        prior = writer.must_read, writer.stored_sequence
        writer.on_read(result.ok_value.version, value.ok_value)
        return (writer.must_read, writer.stored_sequence) != prior or value.ok_value.closed_into > 0

    def _write(self, writer: ChainWriter, call: ChainWrite) -> bool:
        key, value = call.value.key, attrs.asdict(call.value)
        if call.if_version:
            result = self._client.update(key, value, call.if_version)
        else:
            result = self._client.create(key, value)
        if isinstance(result, Ok):
            writer.on_written(result.ok_value.version, call)
            return False
        if result.err_value.kind in (ErrorKind.CONFLICT, ErrorKind.ABSENT):
            writer.on_conflict(call)
            return True
        writer.on_write_unknown()
        return False

    def _send_copies(self) -> float:
        """Send the copy peer the figures it lacks; return the seconds until the next run.

        A peer that no longer has the base of a copy is sent all figures immediately.
        """
        copy_peer = self._find_copy_peer()
        if copy_peer is None:
            return self._times.copy_interval_s
        name, client = copy_peer
        for part in self._ledger.parts:
            if not self._send_copy(part, name, client) and not self._send_copy(part, name, client):
                break
        return self._times.copy_interval_s

    def _send_copy(self, part: UsagePart, name: str, client: JsonClient) -> bool:
        """Send one part's changes; return whether the peer now holds the complete part."""
        copy = part.build_copy(name)
        if copy is None:
            return True
        result = client.call(
            "POST", COPY_PATH, attrs.asdict(copy), COPY_CALL_TIMEOUT_S, self._headers
        )
        held = 0
        if isinstance(result, Ok) and result.ok_value.status == 200:
            held = result.ok_value.body.get("sequence", 0)
        complete = bool(held == copy.sequence)
        part.on_copied(name, copy.sequence if complete else 0)
        return complete

    def _find_copy_peer(self) -> tuple[str, JsonClient] | None:
        peer = choose_copy_peer(self._incarnation, self._failure_domain, self._peers())
        if peer is None:
            return None
        if self._copy_peer is None or self._copy_peer[0] != peer.incarnation:
            if self._copy_peer is not None:
                self._copy_peer[1].close()
            self._copy_peer = (peer.incarnation, JsonClient(peer.address, connections=1))
        return self._copy_peer


class _CopyResource:
    def __init__(self, counter: UsageCounter, secret: str) -> None:
        self._counter = counter
        self._secret = secret

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Store a peer's copy."""
        if not has_bearer_token(request.get_header("Authorization"), self._secret):
            raise falcon.HTTPForbidden(title="not a peer")
        copy = decode_as(UsageCopy, request.get_media())
        if isinstance(copy, Err):
            raise falcon.HTTPBadRequest(title=copy.err_value)
        try:
            response.media = {"sequence": self._counter.accept_copy(copy.ok_value)}
        except (ValueError, TypeError) as error:
            raise falcon.HTTPBadRequest(title=f"rows: {error}")
