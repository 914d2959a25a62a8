"""Runs a process until a stop signal arrives and stops it without aborting requests."""

from __future__ import annotations

import json
import os
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import gevent
import logbook
from gevent.event import Event

from hickoryloom.logs import log_event

__all__ = ["Runnable", "run_until_stopped", "write_ready_file"]

log = logbook.Logger("hickoryloom.lifecycle")


class Runnable(Protocol):
    """The tasks of a process."""

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses by name, as `host:port`."""

    def start(self) -> None:
        """Bind sockets and start tasks."""

    def stop(self) -> None:
        """Complete running requests, release held resources and return."""


def write_ready_file(path: str, addresses: dict[str, str]) -> None:
    """Write the bound addresses as JSON atomically; an empty path writes nothing."""
    if not path:
        return
    temporary = Path(f"{path}.partial")
    temporary.write_text(json.dumps({**addresses, "pid": os.getpid()}))
    temporary.replace(path)


def run_until_stopped(
    process: Runnable, ready_file: str = "", reload: Callable[[], None] | None = None
) -> int:
    """Start `process`, wait for SIGTERM or SIGINT, stop it and return the exit code.

    Further signals have no effect: a planned stop never aborts requests in flight.

    Args:
        process: Process to run.
        ready_file: Path of the file for the bound addresses; empty for none.
        reload: Called for each SIGHUP; None to let SIGHUP end the process.
    """
    if reload is not None:
        gevent.signal_handler(signal.SIGHUP, _reload, reload)
    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    process.start()
    write_ready_file(ready_file, process.addresses)
    log_event(log, "process-started", **process.addresses)
    stop_requested.wait()
    log_event(log, "process-stopping")
    process.stop()
    log_event(log, "process-stopped")
    return 0


def _reload(reload: Callable[[], None]) -> None:
    """Run a reload; gevent would end the process for an exception in a signal handler."""
    try:
        reload()
    except Exception as error:
        log_event(log, "reload-failed", error=f"{type(error).__name__}: {error}")
