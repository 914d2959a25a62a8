"""Randomized soak test of real processes.

Faults are injected from outside the processes, and promises are checked against what callers and
backend servers observe.
"""

from hickoryloom.soak import link, messages, plan, ports, promises, record, report, run
from hickoryloom.soak.link import *  # noqa: F403
from hickoryloom.soak.messages import *  # noqa: F403
from hickoryloom.soak.plan import *  # noqa: F403
from hickoryloom.soak.ports import *  # noqa: F403
from hickoryloom.soak.promises import *  # noqa: F403
from hickoryloom.soak.record import *  # noqa: F403
from hickoryloom.soak.report import *  # noqa: F403
from hickoryloom.soak.run import *  # noqa: F403

__all__ = [
    *link.__all__,
    *messages.__all__,
    *plan.__all__,
    *ports.__all__,
    *promises.__all__,
    *record.__all__,
    *report.__all__,
    *run.__all__,
]
