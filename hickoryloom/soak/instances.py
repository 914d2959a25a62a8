"""Starts, disturbs and stops the processes under test, and signals no other processes."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from hickoryloom.clock import Clock
from hickoryloom.soak.messages import Disturbance
from hickoryloom.soak.ports import InstanceProcess, SoakSite
from hickoryloom.soak.record import Record

__all__ = ["Instances"]

POLL_S = 0.05
BALANCER_POLL_S = 1.0
"""Interval at which the load balancer polls the readiness of each instance."""

MAX_FAILED_POLLS = 2
"""Consecutive failed readiness polls after which an instance gets no new connections."""

QUOTA_PERIOD_S = 0.1
"""Period in which a process under a quota runs for its share of the time, as in containers."""

SIGNALLED_STOP_S = 2.0
"""Time of a stop in which further signals may arrive. Later, the interpreter may be ending already,
when each signal has its default action."""

STOP_TOLERANCE_S = 1.0
"""Tolerance beyond the stop bound, for delays of the soak test itself on a busy machine."""


class Instances:
    """Manages the processes of instances and acts as the load balancer in front of them.

    Args:
        site: Platform stand-in that starts the processes.
        record: Record to which disturbances and exits are added.
        clock: Time source.
        names: Names of the instances.
    """

    def __init__(self, site: SoakSite, record: Record, clock: Clock, names: list[str]) -> None:
        self._site = site
        self._record = record
        self._clock = clock
        self._names = names
        self._processes: dict[str, InstanceProcess] = {}
        self._faulted: set[str] = set()
        self._stopping_since: dict[str, float] = {}
        self._failed_polls: dict[str, int] = {}
        self._handled_exits: set[InstanceProcess] = set()

    @property
    def available(self) -> list[str]:
        """Names of instances that no fault is stopping or pausing at present."""
        return [name for name in self._names if name not in self._faulted]

    @property
    def balancer_targets(self) -> dict[str, str]:
        """Addresses to which the load balancer sends new connections, by instance name."""
        return {
            name: process.address
            for name, process in self._processes.items()
            if self._failed_polls.get(name, MAX_FAILED_POLLS) < MAX_FAILED_POLLS
        }

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return self._clock.monotonic()

    def start_all(self) -> None:
        """Start every instance."""
        for name in self._names:
            self._start(name)

    def wait_ready(self, timeout_s: float) -> None:
        """Wait until the load balancer sends connections to every instance.

        Raises:
            TimeoutError: An instance did not become ready in time.
        """
        end = self.now() + timeout_s
        while len(self.balancer_targets) < len(self._names):
            if self.now() > end:
                missing = sorted(set(self._names) - set(self.balancer_targets))
                raise TimeoutError(f"instances not ready within {timeout_s} s: {missing}")
            gevent.sleep(POLL_S)

    def poll_readiness(self) -> None:
        """Poll the readiness of all instances forever; record unexpected exits and restart them."""
        while True:
            for name, process in list(self._processes.items()):
                gevent.spawn(self._poll, name, process)
            gevent.sleep(BALANCER_POLL_S)

    @contextmanager
    def disturbance(self, fault: str, subject: str) -> Iterator[None]:
        """Record a disturbance for the duration of the block."""
        recorded = Disturbance(fault, subject, self.now())
        self._record.disturbances.append(recorded)
        try:
            yield
        finally:
            recorded.ended = self.now()

    def kill(self, name: str, down_s: float) -> None:
        """Kill an instance's process and restart it after `down_s` seconds."""
        if name in self._faulted:
            return
        self._faulted.add(name)
        with self.disturbance("kill", name):
            process = self._processes[name]
            self._handled_exits.add(process)
            process.signal(signal.SIGKILL)
            gevent.sleep(down_s)
            self._start(name)
            self._wait_until_ready(name)
        self._faulted.discard(name)

    def stop_and_start(self, name: str) -> None:
        """Send SIGTERM to an instance's process, check that it exits in time, and restart it."""
        if name in self._faulted:
            return
        self._faulted.add(name)
        with self.disturbance("planned-stop", name):
            process = self._processes[name]
            self._handled_exits.add(process)
            process.signal(signal.SIGTERM)
            self._stopping_since[name] = self.now()
            end = self.now() + self._record.bounds.stop_s + STOP_TOLERANCE_S
            while process.exit_code is None and self.now() < end:
                gevent.sleep(POLL_S)
            if process.exit_code is None:
                self._record.late_stops.append(name)
                process.signal(signal.SIGKILL)
            elif process.exit_code != 0:
                self._record.unexpected_exits.append((name, process.exit_code))
            del self._stopping_since[name]
            self._start(name)
            self._wait_until_ready(name)
        self._faulted.discard(name)

    def pause(self, name: str, duration_s: float) -> None:
        """Suspend an instance's process for `duration_s` seconds."""
        if name in self._faulted:
            return
        self._faulted.add(name)
        with self.disturbance("pause", name):
            process = self._processes[name]
            process.signal(signal.SIGSTOP)
            gevent.sleep(duration_s)
            process.signal(signal.SIGCONT)
        self._faulted.discard(name)

    def signal(self, name: str, number: int) -> None:
        """Send an instance's process a signal that should not terminate it."""
        if name not in self._faulted:
            self._processes[name].signal(number)

    def stopping_for_s(self, name: str) -> float | None:
        """Return the time since an instance was told to stop; None if it wasn't."""
        since = self._stopping_since.get(name)
        return None if since is None else self.now() - since

    def limit_share(self, name: str, share: float) -> None:
        """Let an instance's process run for a share of each period only, until killed."""
        while True:
            process = self._processes[name]
            try:
                process.signal(signal.SIGSTOP)
                gevent.sleep((1 - share) * QUOTA_PERIOD_S)
            finally:
                process.signal(signal.SIGCONT)
            gevent.sleep(share * QUOTA_PERIOD_S)

    def signal_stopping(self, number: int) -> None:
        """Send a signal to each process that has been told to stop a short time ago."""
        for name, since in self._stopping_since.items():
            if self.now() - since < SIGNALLED_STOP_S:
                self._processes[name].signal(number)

    def log_tails(self) -> dict[str, str]:
        """Return the last part of each instance's log, by instance name."""
        return {name: process.log_tail() for name, process in self._processes.items()}

    def _start(self, name: str) -> None:
        self._processes[name] = self._site.start_instance(name)
        self._failed_polls[name] = MAX_FAILED_POLLS

    def _wait_until_ready(self, name: str) -> None:
        """Wait until an instance is ready again; the stop bound also serves as the limit here."""
        end = self.now() + self._record.bounds.stop_s
        process = self._processes[name]
        while not process.ready() and self.now() < end:
            gevent.sleep(POLL_S)

    def _poll(self, name: str, process: InstanceProcess) -> None:
        if process.exit_code is not None and process not in self._handled_exits:
            self._handled_exits.add(process)
            self._record.unexpected_exits.append((name, process.exit_code))
            self._start(name)
            return
        ready = process.ready()
        if self._processes.get(name) is process:
            self._failed_polls[name] = 0 if ready else self._failed_polls[name] + 1
