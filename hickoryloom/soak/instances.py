"""The processes of the system under test: started, disturbed and ended by their ids only."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from hickoryloom.clock import Clock
from hickoryloom.soak.messages import Disturbance
from hickoryloom.soak.ports import Instance, SoakSite
from hickoryloom.soak.record import Record

__all__ = ["Instances"]

POLL_S = 0.05
BALANCER_POLL_S = 1.0
"""The balancer asks each instance once a second."""

BALANCER_MISSES = 2
"""Questions in a row without a good answer after which an instance gets no new connections."""

STOP_SLACK_S = 1.0
"""Time beyond the bound of a stop for the soak's own work, on a busy machine."""


class Instances:
    """Starts and ends instances, and knows which of them the balancer would send callers to.

    Args:
        site: Starts processes.
        record: Takes disturbances and exits.
        clock: Source of time.
        names: Names of the instances.
    """

    def __init__(self, site: SoakSite, record: Record, clock: Clock, names: list[str]) -> None:
        self._site = site
        self._record = record
        self._clock = clock
        self._names = names
        self._processes: dict[str, Instance] = {}
        self._busy: set[str] = set()
        self._misses: dict[str, int] = {}
        self._ending: set[Instance] = set()

    @property
    def running(self) -> list[str]:
        """Names of instances that no fault is ending or pausing now."""
        return [name for name in self._names if name not in self._busy]

    @property
    def balanced(self) -> dict[str, str]:
        """Addresses by name to which the balancer sends new connections."""
        return {
            name: process.address
            for name, process in self._processes.items()
            if self._misses.get(name, BALANCER_MISSES) < BALANCER_MISSES
        }

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return self._clock.monotonic()

    def start_all(self) -> None:
        """Start every instance."""
        for name in self._names:
            self._start(name)

    def wait_ready(self, timeout_s: float) -> None:
        """Wait until the balancer sends callers to every instance.

        Raises:
            TimeoutError: One did not become ready in time.
        """
        end = self.now() + timeout_s
        while len(self.balanced) < len(self._names):
            if self.now() > end:
                missing = sorted(set(self._names) - set(self.balanced))
                raise TimeoutError(f"instances not ready after {timeout_s} s: {missing}")
            gevent.sleep(POLL_S)

    def watch(self) -> None:
        """Ask every instance whether it is ready, for ever, and note those that have ended."""
        while True:
            for name, process in list(self._processes.items()):
                gevent.spawn(self._ask, name, process)
            gevent.sleep(BALANCER_POLL_S)

    @contextmanager
    def disturbed(self, what: str, subject: str) -> Iterator[None]:
        """Note that something is wrong while the block runs."""
        noted = Disturbance(what, subject, self.now())
        self._record.disturbances.append(noted)
        try:
            yield
        finally:
            noted.ended = self.now()

    def kill(self, name: str, down_s: float) -> None:
        """Kill an instance and start it again after a while."""
        if name in self._busy:
            return
        self._busy.add(name)
        with self.disturbed("kill", name):
            process = self._processes[name]
            self._ending.add(process)
            process.signal(signal.SIGKILL)
            gevent.sleep(down_s)
            self._start(name)
            self._wait_until_ready(name)
        self._busy.discard(name)

    def stop_and_start(self, name: str) -> None:
        """Ask an instance to stop, see that it does in time, and start it again."""
        if name in self._busy:
            return
        self._busy.add(name)
        with self.disturbed("planned-stop", name):
            process = self._processes[name]
            self._ending.add(process)
            process.signal(signal.SIGTERM)
            end = self.now() + self._record.bounds.stop_s + STOP_SLACK_S
            while process.exit_code is None and self.now() < end:
                gevent.sleep(POLL_S)
            if process.exit_code is None:
                self._record.late_stops.append(name)
                process.signal(signal.SIGKILL)
            elif process.exit_code != 0:
                self._record.exits.append((name, process.exit_code))
            self._start(name)
            self._wait_until_ready(name)
        self._busy.discard(name)

    def pause(self, name: str, for_s: float) -> None:
        """Hold an instance still for a while."""
        if name in self._busy:
            return
        self._busy.add(name)
        with self.disturbed("pause", name):
            process = self._processes[name]
            process.signal(signal.SIGSTOP)
            gevent.sleep(for_s)
            process.signal(signal.SIGCONT)
        self._busy.discard(name)

    def signal(self, name: str, number: int) -> None:
        """Send an instance a signal that should not end it."""
        if name not in self._busy:
            self._processes[name].signal(number)

    def log_tails(self) -> dict[str, str]:
        """Return the ends of all logs by name."""
        return {name: process.log_tail() for name, process in self._processes.items()}

    def _start(self, name: str) -> None:
        self._processes[name] = self._site.start_instance(name)
        self._misses[name] = BALANCER_MISSES

    def _wait_until_ready(self, name: str) -> None:
        """Wait until an instance is ready again, for as long as a start may take."""
        end = self.now() + self._record.bounds.stop_s
        process = self._processes[name]
        while not process.ready() and self.now() < end:
            gevent.sleep(POLL_S)

    def _ask(self, name: str, process: Instance) -> None:
        if process.exit_code is not None and process not in self._ending:
            self._ending.add(process)
            self._record.exits.append((name, process.exit_code))
            self._start(name)
            return
        ready = process.ready()
        if self._processes.get(name) is process:
            self._misses[name] = 0 if ready else self._misses[name] + 1
