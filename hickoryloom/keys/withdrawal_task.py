"""Cancels running calls whose key was withdrawn or can no longer be verified."""

from __future__ import annotations

import gevent
import logbook

from hickoryloom.clock import Clock
from hickoryloom.configuration import ConfigurationFollower, Snapshot
from hickoryloom.keys.open_calls import OpenCalls
from hickoryloom.keys.view_guard import ViewGuard
from hickoryloom.logs import log_event

__all__ = ["WithdrawalTask", "withdrawn_keys"]

CHECK_INTERVAL_S = 0.25

log = logbook.Logger("hickoryloom.keys")


def withdrawn_keys(old: Snapshot, new: Snapshot) -> set[str]:
    """Return the hashes of the keys that are withdrawn when `new` replaces `old`.

    A key that was reassigned to another customer counts as withdrawn.
    """
    if old.keys is new.keys:
        return set()
    has_known_changes = new.changed_from == old.generation
    candidates = new.changed_keys if has_known_changes else old.keys.keys()
    return {key for key in candidates if key in old.keys and _is_withdrawn(old, new, key)}


def _is_withdrawn(old: Snapshot, new: Snapshot, key: str) -> bool:
    record = new.keys.get(key)
    return record is None or record.customer != old.keys[key].customer


class WithdrawalTask:
    """Cancels open calls when the configuration withdraws their key or the view becomes too old.

    Args:
        follower: Notifies of each new generation of the configuration.
        guard: Decides whether calls with a key may run.
        calls: Registry of running calls.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        follower: ConfigurationFollower,
        guard: ViewGuard,
        calls: OpenCalls,
        clock: Clock,
    ) -> None:
        self._guard = guard
        self._calls = calls
        self._clock = clock
        self._task: gevent.Greenlet | None = None
        follower.subscribe(self._apply)

    def start(self) -> None:
        """Start checking the guard periodically."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop checking the guard."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _apply(self, old: Snapshot, new: Snapshot) -> None:
        withdrawn = withdrawn_keys(old, new)
        if withdrawn:
            ended = self._calls.withdraw(withdrawn)
            log_event(log, "keys-withdrawn", keys=len(withdrawn), calls_ended=ended)

    def _run(self) -> None:
        while True:
            if not self._guard.allows_keyed_calls(self._clock.monotonic()):
                ended = self._calls.withdraw_all()
                if ended:
                    log_event(log, "view-too-old", calls_ended=ended)
            gevent.sleep(CHECK_INTERVAL_S)
