"""Child processes and fault-injecting links for failure tests."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

from hickoryloom.soak.link import Link

__all__ = ["Link", "Process", "wait_until"]

READY_TIMEOUT_S = 20.0
POLL_S = 0.02


def wait_until(
    condition: Callable[[], Any], timeout_s: float = 10.0, what: str | Callable[[], Any] = ""
) -> Any:
    """Poll a condition until it is truthy and return its value; fail the test on timeout.

    `what` describes the condition in the failure; a function is called only after a timeout.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        gevent.sleep(POLL_S)
    description = what() if callable(what) else what
    raise AssertionError(f"condition not met within {timeout_s} s: {description or condition}")


class Process:
    """A `hickoryloom` process that a test can kill, suspend and resume."""

    def __init__(self, directory: Path, name: str, arguments: list[str]) -> None:
        self.name = name
        self.ready_file = directory / f"{name}.ready.json"
        self.log_file = directory / f"{name}.log"
        self.ready_file.unlink(missing_ok=True)
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "hickoryloom", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=Path(__file__).resolve().parent.parent,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        return self._process.poll()

    def wait_ready(self) -> dict[str, Any]:
        """Wait for the ready file and return the addresses in it."""

        def read() -> dict[str, Any] | None:
            assert self.exit_code is None, f"{self.name} exited: {self.log()}"
            try:
                return json.loads(self.ready_file.read_text())
            except (OSError, ValueError):
                return None

        return wait_until(read, READY_TIMEOUT_S, f"{self.name} is ready: {self.log()}")

    def log(self) -> str:
        return self.log_file.read_text(errors="replace")

    def signal(self, number: int) -> None:
        self._process.send_signal(number)

    def suspend(self) -> None:
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process, suspended or not, and wait for its exit."""
        if self.exit_code is None:
            self._process.kill()
        self._process.wait()

    def terminate(self, timeout_s: float = 20.0) -> int:
        """Request a graceful shutdown by SIGTERM and return the exit code."""
        self.signal(signal.SIGTERM)
        return (
            wait_until(
                lambda: self.exit_code is not None and (self.exit_code + 1000), timeout_s, self.name
            )
            - 1000
        )
