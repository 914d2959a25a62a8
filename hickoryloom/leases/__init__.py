"""Leases, which ensure that each duty is held by at most one process at a time."""

from hickoryloom.leases import manager, messages, state, store
from hickoryloom.leases.manager import *  # noqa: F403
from hickoryloom.leases.messages import *  # noqa: F403
from hickoryloom.leases.state import *  # noqa: F403
from hickoryloom.leases.store import *  # noqa: F403

__all__ = [*manager.__all__, *messages.__all__, *state.__all__, *store.__all__]
