"""Knows the software version at which a stream may go on; asks other instances for it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import logbook
from gevent.event import Event
from result import Err

from hickoryloom.clock import Clock
from hickoryloom.datagrams import DatagramPort
from hickoryloom.discovery import BackendServer
from hickoryloom.logs import log_event
from hickoryloom.origins.journal_reader import JournalView
from hickoryloom.origins.journals_task import OriginJournals
from hickoryloom.origins.keepers import OriginKeepers
from hickoryloom.origins.listed import MAX_VERSION_CHARS
from hickoryloom.origins.lists_task import VersionLists
from hickoryloom.origins.messages import Ask, Keep, Message, Origin, Told, decode, encode
from hickoryloom.origins.state import OriginMemory, SoftwareVersions

__all__ = ["StreamOrigins"]

KEEPERS = 3
"""Other instances that keep the origin of a stream."""

ASKED = 6
"""Instances that are asked for an origin: the keepers, and those that others may take for them."""

ASK_TIMEOUT_S = 0.15
"""Longest wait for answers, many times the round trip between failure domains."""

ASK_ROUNDS = 3
"""How often a process is asked whose answer is needed, as datagrams get lost."""

MAX_VIEW_AGE_S = 1.5
"""Age of the list of servers up to which it shows whether a service is mixed."""

MAX_QUESTIONS = 1_000
"""Questions that may be open at once; further ones are not asked."""

FIRST_BYTE = b"["
"""First byte of the datagrams of origins, which are JSON arrays."""

log = logbook.Logger("hickoryloom.origins")


class StreamOrigins:
    """Records where streams began, and finds out where others did.

    Args:
        clock: Source of time.
        port: Port for datagrams.
        keepers: Chooses the instances that keep an origin.
        versions: The software versions of each service.
        find_server: Returns the current registration of a server by its id.
        view_age_s: Returns the age of the list of servers in seconds, given the time.
        lists: Lists of versions in the store; None if no list is kept.
        journals: Journals in the store; None if none are kept.
    """

    def __init__(
        self,
        clock: Clock,
        port: DatagramPort,
        keepers: OriginKeepers,
        versions: SoftwareVersions,
        find_server: Callable[[str], BackendServer | None],
        view_age_s: Callable[[float], float],
        lists: VersionLists | None = None,
        journals: OriginJournals | None = None,
    ) -> None:
        self._lists = lists
        self._journals = journals
        self._ids: dict[tuple[str, str], frozenset[str]] = {}
        self._clock = clock
        self._port = port
        self._keepers = keepers
        self._versions = versions
        self._find_server = find_server
        self._view_age_s = view_age_s
        self._own = OriginMemory() if journals is None else journals.memory
        self._own_unresumable = OriginMemory()
        self._kept = OriginMemory()
        self._mixed: frozenset[str] = frozenset()
        self._questions: dict[int, _Question] = {}
        self._number = 0
        port.subscribe(FIRST_BYTE, self._receive)

    @property
    def kept(self) -> int:
        """Number of origins in memory."""
        return len(self._own) + len(self._own_unresumable) + len(self._kept)

    def is_mixed(self, service: str) -> bool:
        """Return whether streams of a service must go on at the version that began them."""
        return self._versions.is_mixed(service, self._clock.monotonic())

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Apply the list of live backend servers."""
        servers = tuple(servers)
        ids: dict[tuple[str, str], set[str]] = {}
        for server in servers:
            version = server.software[:MAX_VERSION_CHARS]
            ids.setdefault((server.service, version), set()).add(server.id)
        self._ids = {key: frozenset(found) for key, found in ids.items()}
        if self._lists is not None:
            self._lists.set_servers(servers)
        if self._journals is not None:
            self._journals.set_servers(servers)
        self._versions.update(servers, self._clock.monotonic())
        self.refresh()

    def refresh(self) -> None:
        """Drop old origins; pass those of open streams on when their service becomes mixed."""
        now = self._clock.monotonic()
        for memory in (self._own, self._own_unresumable, self._kept):
            memory.expire(now)
        if self._lists is not None:
            self._lists.refresh()
        self._versions.refresh(now)
        mixed = frozenset(
            service for service in self._versions.services() if self.is_mixed(service)
        )
        for service in mixed - self._mixed:
            origins = self._own.all_of(service, now) + self._own_unresumable.all_of(service, now)
            log_event(log, "versions-mixed", service=service, open_streams=len(origins))
            for key, origin, at in origins:
                self._send_keep(key, origin, now - at)
        for service in self._mixed - mixed:
            log_event(log, "versions-uniform", service=service)
        self._mixed = mixed

    def record(self, key: str, server: BackendServer, resumable: bool = True) -> str:
        """Record the first event of a stream; call before the event is passed on.

        Args:
            key: Key of the stream.
            server: The server as it was registered when it was chosen.
            resumable: Whether callers may take the stream up.

        Returns:
            The version at which the stream may go on; empty if it is not certain.
        """
        now = self._clock.monotonic()
        current = self._find_server(server.id)
        is_same = current is None or (
            (current.started_ms, current.software) == (server.started_ms, server.software)
        )
        origin = Origin(server.service, server.id, server.software if is_same else "")
        (self._own if resumable else self._own_unresumable).put(key, origin, now)
        if self.is_mixed(server.service):
            self._send_keep(key, origin, 0.0)
        if resumable and self._journals is not None:
            self._journals.note_stream(server.service)
        return origin.software

    def learn(self, key: str, origin: Origin, resumable: bool = True) -> None:
        """Remember the origin of a stream that this instance passes on for another one.

        That one has told it to the keepers, and stores it. So the journal of this process is not
        written for it.

        Args:
            key: Key of the stream.
            origin: Its origin as the other instance knows it.
            resumable: Whether callers may take the stream up.
        """
        memory = self._own if resumable else self._own_unresumable
        memory.put(key, origin, self._clock.monotonic())

    def accept(self, key: str, origin: Origin) -> Origin | None:
        """Return the origin that another instance tells with a stream that goes on here.

        Args:
            key: Key of the stream.
            origin: Its origin as the other instance knows it.

        Returns:
            The origin; None if its version is no longer certain.
        """
        self._kept.put(key, origin, self._clock.monotonic())
        return self._checked(origin)

    def record_delivered(self, key: str) -> None:
        """Record that a stream was delivered completely, as far as this instance can tell."""
        known = self._own.get(key, self._clock.monotonic())
        self._own.drop(key)
        self._own_unresumable.drop(key)
        # Its caller may have lost the connection before the last events.
        if known is not None and self._matters(known[0].service):
            self._kept.put(key, *known)

    def _matters(self, service: str) -> bool:
        """Return whether the version that began a stream matters, or may matter again."""
        keeps = self._journals is not None and self._journals.is_kept(service)
        return keeps or self.is_mixed(service)

    def held_servers(self, service: str) -> frozenset[str]:
        """Return the ids of servers that must not get a resumable stream yet.

        Their version is not yet known to be listed in the store, or this process has no journal
        there for streams of that version.
        """
        held = self._lists.held(service) if self._lists is not None else frozenset()
        if self._journals is not None:
            held |= self._journals.held(service)
        if not held:
            return frozenset()
        return frozenset().union(*(self._ids.get((service, name), ()) for name in held))

    def wait_listed(self, timeout_s: float) -> None:
        """Wait until a list of versions was read or written."""
        if self._lists is not None:
            self._lists.wait_changed(timeout_s)

    def knows_versions(self, service: str) -> bool:
        """Return whether the versions that a service had lately are known."""
        return self._lists is None or self._lists.is_known(service)

    def find(self, key: str, service: str, resumable: bool = True) -> Origin | None:
        """Return the origin of a stream that a caller takes up.

        Blocks for the time-outs of the other instances, of the list and of the journals in the
        store at most.

        Args:
            key: Key of the stream; empty if the caller doesn't name it.
            service: Service to which the request would be sent.
            resumable: Whether callers may take the stream up.

        Returns:
            The origin, without a version if any one will do; None if it is not known and matters.
        """
        now = self._clock.monotonic()
        known = self._recall(key, now) if key else None
        replied = False
        if known is None and key:
            known, replied = self._ask(key)
        if known is not None:
            origin, at = known
            self._kept.put(key, origin, at)
            return self._checked(origin)
        if not self.is_mixed(service):
            if not replied and self._view_age_s(self._clock.monotonic()) > MAX_VIEW_AGE_S:
                return None
            # Reading the list may show that the service is mixed.
            if self._lists is not None and not self._lists.confirm(service):
                return None
            if not self.is_mixed(service):
                return Origin(service, "", "")
        found = self._find_stored(key, service) if key and resumable else None
        if found is not None:
            self._kept.put(key, found, now)
            return self._checked(found)
        return None

    def _recall(self, key: str, now: float) -> tuple[Origin, float] | None:
        """Return the origin and the time of a stream that this instance knows."""
        memories = (self._own, self._own_unresumable, self._kept)
        return next((known for m in memories if (known := m.get(key, now)) is not None), None)

    def _find_stored(self, key: str, service: str) -> Origin | None:
        """Return what the journals in the store tell about a stream that no instance knows."""
        if self._journals is None or self._lists is None:
            return None
        view, is_current = self._journals.read(key)
        origin = view.find(key)
        if origin is None and is_current and self._lists.confirm(service):
            origin = self._infer(key, service, view)
        log_event(
            log,
            "stream-origin-read",
            service=service,
            journals=len(view.journals),
            is_current=is_current,
            software=origin.software if origin is not None else None,
        )
        return origin

    def _infer(self, key: str, service: str, view: JournalView) -> Origin | None:
        """Return the base of the service's period if the stream can't have begun elsewhere.

        That is so if each process that may have begun streams at other versions lives and does not
        know it. The journals of those that have ended may lack their last streams.
        """
        assert self._journals is not None and self._lists is not None
        period = self._lists.period(service)
        if period is None or not period.base or view.unreadable:
            return None
        if not self._journals.covers_all_processes:
            return None
        others = {
            journal.process: journal.address
            for journal in view.journals
            if (journal.service, journal.period) == (service, period.id)
            and journal.leaves_base
            and journal.process != self._journals.process
        }
        if not self._certain_process or not all(others.values()):
            return None
        unaware: frozenset[str] = frozenset()
        for _ in range(ASK_ROUNDS):
            asked = [address for process, address in others.items() if process not in unaware]
            if not asked:
                break
            question = self._ask_at(key, asked)
            if question is None:
                return None
            if question.found is not None:
                return question.found[0]
            unaware |= question.unaware
        if not unaware.issuperset(others):
            return None
        return Origin(service, "", period.base)

    @property
    def _certain_process(self) -> str:
        """Id of this process; empty if it may have forgotten a stream."""
        now = self._clock.monotonic()
        is_complete = self._own.is_complete(now) and self._kept.is_complete(now)
        return self._journals.process if self._journals is not None and is_complete else ""

    def _checked(self, origin: Origin) -> Origin | None:
        """Return an origin unless its version is no longer certain and matters."""
        server = self._find_server(origin.server)
        if server is not None and server.software != origin.software:
            # The server may have restarted with another version before the first event.
            return None
        if not origin.software and self.is_mixed(origin.service):
            return None
        return origin

    def _ask(self, key: str) -> tuple[tuple[Origin, float] | None, bool]:
        """Ask other instances; return what they know and whether any of them replied."""
        question = self._ask_at(key, self._keepers.first(key, ASKED))
        if question is None:
            return None, False
        return question.found, question.replies > 0

    def _ask_at(self, key: str, addresses: list[str]) -> _Question | None:
        """Ask instances for an origin; return their answers, or None if none can be asked."""
        if not addresses or not self._port.is_open or len(self._questions) >= MAX_QUESTIONS:
            return None
        self._number = number = self._number + 1
        question = self._questions[number] = _Question(len(addresses))
        try:
            for address in addresses:
                self._send(Ask(key, self._port.address, number), address)
            question.settled.wait(ASK_TIMEOUT_S)
        finally:
            del self._questions[number]
        return question

    def _send_keep(self, key: str, origin: Origin, age_s: float) -> None:
        for address in self._keepers.first(key, KEEPERS):
            self._send(Keep(key, origin, round(age_s, 3)), address)

    def _send(self, message: Message, address: str) -> None:
        self._port.send(encode(message), address)

    def _receive(self, data: bytes) -> None:
        decoded = decode(data)
        if isinstance(decoded, Err):
            log_event(log, "origin-unreadable", detail=decoded.err_value)
            return
        message, now = decoded.ok_value, self._clock.monotonic()
        if isinstance(message, Keep):
            self._kept.put(message.key, message.origin, now - max(0.0, message.age_s))
        elif isinstance(message, Ask):
            known = self._recall(message.key, now)
            origin, at = known if known is not None else (None, now)
            told = Told(message.number, origin, round(now - at, 3), self._certain_process)
            self._send(told, message.address)
        else:
            question = self._questions.get(message.number)
            if question is not None:
                question.on_told(message, now)


class _Question:
    """What the instances that were asked have replied so far.

    Attributes:
        replies: Number of replies.
        found: The origin and the time of the first event; None while none is known.
        unaware: Processes that have certainly not begun the stream.
        settled: Set once no further reply matters.

    Args:
        asked: Number of instances that were asked.
    """

    def __init__(self, asked: int) -> None:
        self._asked = asked
        self.replies = 0
        self.found: tuple[Origin, float] | None = None
        self.unaware: frozenset[str] = frozenset()
        self.settled = Event()

    def on_told(self, told: Told, now: float) -> None:
        """Apply a reply; the first one with an origin settles the question."""
        self.replies += 1
        if told.origin is None and told.process:
            self.unaware |= {told.process}
        if told.origin is not None and self.found is None:
            self.found = (told.origin, now - max(0.0, told.age_s))
        if self.found is not None or self.replies >= self._asked:
            self.settled.set()
