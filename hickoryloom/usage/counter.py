"""The task of an entry that brings its figures, and those of vanished peers, to the platform."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs
import falcon
import gevent
import logbook
from gevent.event import Event
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.http import JsonClient, bearer_headers, shows_token
from hickoryloom.leases import ObjectStore
from hickoryloom.logs import log_event
from hickoryloom.loops import repeat_until
from hickoryloom.membership import Peer
from hickoryloom.store import ErrorKind
from hickoryloom.usage.chain import ChainRead, ChainWrite, ChainWriter
from hickoryloom.usage.codec import read_as, read_with_rows
from hickoryloom.usage.copies import HeldCopies
from hickoryloom.usage.copy_peer import choose_partner
from hickoryloom.usage.figures import Figures
from hickoryloom.usage.ledger import Part, UsageLedger
from hickoryloom.usage.messages import UsageCopy, UsageKey, UsageObject, UsageTimes, UsageTotals

__all__ = ["UsageCounter"]

STOP_BOUND_S = 5.0
STOP_RETRY_S = 0.2
MAX_CALLS_IN_A_ROW = 16
COPY_CALL_TIMEOUT_S = 1.0
COPY_PATH = "/peer/usage"

log = logbook.Logger("hickoryloom.usage")


class UsageCounter:
    """Counts what this entry served, and loses at most what was added since the last copy.

    Args:
        client: Platform's client.
        clock: Source of time.
        incarnation: This process.
        window_s: Seconds of one window.
        peers: Returns the live peers that may hold copies.
        failure_domain: Where this process runs; a peer elsewhere is preferred.
        peer_secret: The token that entries show to each other; empty for none.
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
        self._times = UsageTimes.of(window_s)
        self._peers = peers
        self._failure_domain = failure_domain
        self._headers = bearer_headers(peer_secret)
        self._peer_secret = peer_secret
        self._ledger = UsageLedger(incarnation, self._times)
        self._copies = HeldCopies(self._times)
        self._partner: tuple[str, JsonClient] | None = None
        self._stopping = Event()
        self._tasks: list[gevent.Greenlet] = []

    @property
    def unsettled_parts(self) -> int:
        """Parts of own figures that the platform lacks."""
        return sum(1 for part in self._ledger.parts if not part.settled)

    @property
    def held_copies(self) -> int:
        """Copies held for other entries."""
        return len(self._copies)

    def add(self, key: UsageKey, totals: UsageTotals, request_id: str = "") -> None:
        """Count one request; a request id that was counted lately is not counted again."""
        self._ledger.add(self._clock.monotonic(), self._clock.wall(), key, totals, request_id)

    def start(self) -> None:
        """Begin to write and to copy."""
        self._tasks = [gevent.spawn(self._run_writes), gevent.spawn(self._run_copies)]

    def stop(self) -> bool:
        """Bring all figures to the platform, else to a peer; return whether the former worked."""
        self._stopping.set()
        gevent.joinall(self._tasks)
        with gevent.Timeout(STOP_BOUND_S, False):
            self._flush()
            while self.unsettled_parts or len(self._copies):
                gevent.sleep(STOP_RETRY_S)
                self._flush()
        if self.unsettled_parts:
            self._send_copies()
        log_event(log, "usage-flushed", unsettled_parts=self.unsettled_parts)
        return self.unsettled_parts == 0

    def add_routes(self, app: falcon.App) -> None:
        """Add the route by which peers hand over copies."""
        app.add_route(COPY_PATH, _CopyResource(self, self._peer_secret))

    def accept_copy(self, copy: UsageCopy) -> int:
        """Hold a peer's copy and return the sequence held, 0 to ask for everything."""
        return self._copies.offer(self._clock.monotonic(), copy)

    def _run_writes(self) -> None:
        repeat_until(self._stopping, self._write_due, "usage-writes", log)

    def _run_copies(self) -> None:
        repeat_until(self._stopping, self._send_copies, "usage-copies", log)

    def _write_due(self) -> float:
        """Write at most one own part and one held copy; return the seconds until the next."""
        now = self._clock.monotonic()
        for part in self._ledger.due(now, self._clock.wall())[:1]:
            part.written_at = now
            self._settle(part.writer, part.figures, part.expose())
        for held in self._copies.due(now)[:1]:
            self._settle(held.writer, held.figures, held.sequence)
        self._drop_settled(now)
        return self._times.spacing_s

    def _flush(self) -> None:
        for part in self._ledger.parts:
            if not part.settled:
                self._settle(part.writer, part.figures, part.expose())
        now = self._clock.monotonic()
        for held in self._copies.due(now, everything=True):
            self._settle(held.writer, held.figures, held.sequence)
        self._drop_settled(now)

    def _drop_settled(self, now: float) -> None:
        for part in self._ledger.drop_settled(now, self._clock.wall()):
            log_event(log, "usage-given-up", window=part.writer.window, source=part.writer.source)
        self._copies.drop_settled(now)

    def _settle(self, writer: ChainWriter, figures: Figures, sequence: int) -> None:
        """Make calls until the platform holds `sequence` or does not answer."""
        figures = dict(figures)
        for _ in range(MAX_CALLS_IN_A_ROW):
            call = writer.next_call(figures, sequence)
            if call is None:
                return
            if isinstance(call, ChainRead):
                go_on = self._read(writer, call)
            else:
                go_on = self._write(writer, call)
            if not go_on:
                return

    def _read(self, writer: ChainWriter, call: ChainRead) -> bool:
        answer = self._client.get(call.key)
        if isinstance(answer, Err):
            if answer.err_value.kind is not ErrorKind.ABSENT:
                return False
            writer.on_absent()
            return not writer.must_read
        value = read_with_rows(UsageObject, answer.ok_value.value)
        if isinstance(value, Err):
            log_event(log, "usage-unreadable", key=call.key, fault=value.err_value)
            return False
        before = writer.must_read, writer.stored
        writer.on_found(answer.ok_value.version, value.ok_value)
        return (writer.must_read, writer.stored) != before or value.ok_value.closed_into > 0

    def _write(self, writer: ChainWriter, call: ChainWrite) -> bool:
        key, value = call.value.key, attrs.asdict(call.value)
        if call.if_version:
            answer = self._client.update(key, value, call.if_version)
        else:
            answer = self._client.create(key, value)
        if isinstance(answer, Ok):
            writer.on_written(answer.ok_value.version, call)
            return False
        if answer.err_value.kind in (ErrorKind.CONFLICT, ErrorKind.ABSENT):
            writer.on_conflict(call)
            return True
        writer.on_unknown()
        return False

    def _send_copies(self) -> float:
        """Hand the partner what it lacks; return the seconds until the next time.

        A partner that forgot what it held is sent everything at once.
        """
        partner = self._find_partner()
        if partner is None:
            return self._times.copy_s
        name, client = partner
        for part in self._ledger.parts:
            if not self._send_copy(part, name, client) and not self._send_copy(part, name, client):
                break
        return self._times.copy_s

    def _send_copy(self, part: Part, name: str, client: JsonClient) -> bool:
        """Send one part's changes; return whether the partner holds it whole now."""
        copy = part.copy_for(name)
        if copy is None:
            return True
        answer = client.call(
            "POST", COPY_PATH, attrs.asdict(copy), COPY_CALL_TIMEOUT_S, self._headers
        )
        held = 0
        if isinstance(answer, Ok) and answer.ok_value.status == 200:
            held = answer.ok_value.body.get("sequence", 0)
        whole = bool(held == copy.sequence)
        part.on_copied(name, copy.sequence if whole else 0)
        return whole

    def _find_partner(self) -> tuple[str, JsonClient] | None:
        peer = choose_partner(self._incarnation, self._failure_domain, self._peers())
        if peer is None:
            return None
        if self._partner is None or self._partner[0] != peer.incarnation:
            if self._partner is not None:
                self._partner[1].close()
            self._partner = (peer.incarnation, JsonClient(peer.address, connections=1))
        return self._partner


class _CopyResource:
    def __init__(self, counter: UsageCounter, secret: str) -> None:
        self._counter = counter
        self._secret = secret

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Hold a peer's copy."""
        if not shows_token(request.get_header("Authorization"), self._secret):
            raise falcon.HTTPForbidden(title="not a peer")
        copy = read_as(UsageCopy, request.get_media())
        if isinstance(copy, Err):
            raise falcon.HTTPBadRequest(title=copy.err_value)
        try:
            response.media = {"sequence": self._counter.accept_copy(copy.ok_value)}
        except (ValueError, TypeError) as error:
            raise falcon.HTTPBadRequest(title=f"rows: {error}")
