"""Who gets the capacity of a service while it is short: classes, customers, returning callers."""

from hickoryloom.contention import allocation, deadlines, decision, free_slots, rates, returning
from hickoryloom.contention.allocation import *  # noqa: F403
from hickoryloom.contention.deadlines import *  # noqa: F403
from hickoryloom.contention.decision import *  # noqa: F403
from hickoryloom.contention.free_slots import *  # noqa: F403
from hickoryloom.contention.rates import *  # noqa: F403
from hickoryloom.contention.returning import *  # noqa: F403

__all__ = [
    *allocation.__all__,
    *deadlines.__all__,
    *decision.__all__,
    *free_slots.__all__,
    *rates.__all__,
    *returning.__all__,
]
