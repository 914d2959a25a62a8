"""Keeps the evacuated failure domains current by listing them in the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
from result import Err

from hickoryloom.clock import Clock
from hickoryloom.evacuations.state import Evacuation, EvacuationState, EvacuationView
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.store import ErrorKind, PlatformClient, join_version

__all__ = ["STORE_READ", "EvacuationFollower", "max_view_age_s"]

STORE_READ = "store"
"""Name of a read of the store by this instance."""

READ_MARGIN_S = 1.4
"""Part of the bound that is reserved for a call that times out after 1 s, the pause after it, and
a second call."""

MIN_VIEW_AGE_FRACTION = 0.25
"""Smallest greatest age of the view as a fraction of the bound, which limits the calls."""

READER_PAUSE_FRACTION = 0.65
"""Pause of an instance between reads while others follow it, as a fraction of the greatest age of
the view."""

POLL_INTERVAL_FRACTION = 0.25
"""Longest interval between the polls of its followers, as the same fraction: both add up, and the
rest is for slow calls."""

CHECK_S = 0.25
"""Longest pause between checks of the age of the view, so that an instance reads soon after its
machine was suspended. A check makes no call."""

DISABLED_CHECK_S = 1.0
"""Pause between checks whether the settings have got a bound."""

RETRY_S = 0.2
"""Pause after a failed read, during which the view keeps aging."""

log = logbook.Logger("hickoryloom.evacuations")

Decode = Callable[[str, Any], str | None]
EndListener = Callable[[str, float], None]


def max_view_age_s(bound_s: float, catch_up_s: float) -> float:
    """Return the age of the view at which the store is read.

    Args:
        bound_s: Seconds after its request within which an evacuation must be applied.
        catch_up_s: Seconds after a partition or suspension within which it must be applied.
    """
    limit_s = min(bound_s, catch_up_s)
    return max(MIN_VIEW_AGE_FRACTION * limit_s, limit_s - READ_MARGIN_S)


class EvacuationFollower:
    """Lists the evacuations whenever the view gets too old, and applies views of other instances.

    It lists instead of using a watch because every listing also proves how fresh the view is,
    whereas a silent watch proves nothing. Without a bound it makes no calls.

    Args:
        client: Client of the store.
        prefix: Key prefix of evacuations.
        decode: Returns the failure domain of an evacuation, given its name and stored value; None
            if there is none.
        clock: Source of time.
        bound_s: Seconds after its request within which an evacuation must be applied; 0 for none.
        catch_up_s: Seconds after a partition or suspension within which it must be applied.
    """

    def __init__(
        self,
        client: PlatformClient,
        prefix: str,
        decode: Decode,
        clock: Clock,
        bound_s: float,
        catch_up_s: float,
    ) -> None:
        self._client = client
        self._prefix = prefix
        self._decode = decode
        self._clock = clock
        self._state = EvacuationState()
        self._bound_s = bound_s
        self._catch_up_s = catch_up_s
        self._confirmed_by_store: EvacuationView | None = None
        self._read_often_until = float("-inf")
        self._readable = True
        self._listeners: list[EndListener] = []
        self._loop = TaskLoop(self._step, "evacuations", log)

    @property
    def is_enabled(self) -> bool:
        """Whether the settings have a bound."""
        return self._bound_s > 0

    @property
    def state(self) -> EvacuationState:
        """The evacuated failure domains and the age of this view."""
        return self._state

    @property
    def domains(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return self._state.domains

    @property
    def confirmed_by_store(self) -> EvacuationView | None:
        """The last listing by this instance; None before the first."""
        return self._confirmed_by_store

    @property
    def max_view_age_s(self) -> float:
        """Age of the view at which the store is read, in seconds."""
        return max_view_age_s(self._bound_s, self._catch_up_s)

    @property
    def shared_interval_s(self) -> float:
        """Longest time between polls of a reader that keeps the view recent enough, in seconds."""
        if not self.is_enabled:
            return float("inf")
        return POLL_INTERVAL_FRACTION * self.max_view_age_s

    def set_bounds(self, bound_s: float, catch_up_s: float) -> None:
        """Replace the time limits; evacuations end if there is no bound any more."""
        self._bound_s, self._catch_up_s = bound_s, catch_up_s
        if not self.is_enabled:
            self._confirmed_by_store = None
            self._finish(self._state.clear(), "settings")

    def read_often(self, until: float) -> None:
        """Read more often until a monotonic time, for instances that follow this one."""
        self._read_often_until = until

    def subscribe_ended(self, listener: EndListener) -> None:
        """Call `listener` with the domain and the monotonic time when an evacuation has ended.

        The time is that at which this instance learns of the end.
        """
        self._listeners.append(listener)

    def apply_shared(self, view: EvacuationView) -> None:
        """Apply a view of another instance; its age decides whether the store is read as well."""
        if self.is_enabled:
            self._apply(view)

    def start(self) -> None:
        """Start reading."""
        self._loop.start()

    def stop(self) -> None:
        """Stop reading and wait for the read in progress."""
        self._loop.stop()

    def _step(self) -> float:
        if not self.is_enabled:
            return DISABLED_CHECK_S
        now = self._clock.monotonic()
        often = now < self._read_often_until
        limit_s = self.max_view_age_s * (READER_PAUSE_FRACTION if often else 1.0)
        left_s = limit_s - self._state.age(now)
        return min(left_s, CHECK_S) if left_s > 0 else self._read(now)

    def _read(self, sent_at: float) -> float:
        response = self._client.list(self._prefix)
        if not self.is_enabled:
            return DISABLED_CHECK_S
        if not isinstance(response, Err):
            names = [item.key.removeprefix(self._prefix) for item in response.ok_value.items]
            values = [item.value for item in response.ok_value.items]
            domains = frozenset(filter(None, map(self._decode, names, values)))
            revision = response.ok_value.revision
        elif response.err_value.kind is ErrorKind.ABSENT:
            # The store knows no object of this kind.
            domains = frozenset()
            revision = max(self._state.revision, join_version(self._client.era, 0))
        else:
            self._note_failed_read(response.err_value.detail)
            return RETRY_S
        view = EvacuationView(domains, revision, sent_at, STORE_READ)
        if not self._apply(view):
            self._note_failed_read("the listing is older than the known one")
            return RETRY_S
        if not self._readable:
            self._readable = True
            log_event(log, "evacuations-readable")
        self._confirmed_by_store = view
        return 0.0

    def _note_failed_read(self, detail: str) -> None:
        if self._readable:
            self._readable = False
            age_s = min(self._state.age(self._clock.monotonic()), 1e9)
            log_event(log, "evacuations-unreadable", detail=detail, view_age_s=age_s)

    def _apply(self, view: EvacuationView) -> bool:
        """Apply a view; return False if a newer one is known."""
        now = self._clock.monotonic()
        change = self._state.apply(view, now)
        if change is None:
            return False
        for evacuation in change.begun:
            log_event(
                log,
                "evacuation-begun",
                failure_domain=evacuation.domain,
                read=view.read,
                view_age_ms=round((now - view.confirmed_at) * 1000),
            )
        for domain in change.kept:
            log_event(log, "evacuation-kept", failure_domain=domain, revision=view.revision)
        self._finish(change.ended, view.read)
        return True

    def _finish(self, ended: tuple[Evacuation, ...], read: str) -> None:
        now = self._clock.monotonic()
        for evacuation in ended:
            log_event(
                log,
                "evacuation-ended",
                failure_domain=evacuation.domain,
                read=read,
                evacuated_ms=round((now - evacuation.noticed_at) * 1000),
            )
            for listener in self._listeners:
                listener(evacuation.domain, now)
