"""Selection of the backend server for a request."""

from hickoryloom.placing import (
    brittle,
    cold,
    conditions,
    memory,
    messages,
    named_limit,
    placer,
    prefill,
    requested_pause,
    shared_rate,
    shared_reports,
    shared_speeds,
    short_prompts,
    speed,
    tracked,
    turn_queue,
)
from hickoryloom.placing.brittle import *  # noqa: F403
from hickoryloom.placing.cold import *  # noqa: F403
from hickoryloom.placing.conditions import *  # noqa: F403
from hickoryloom.placing.memory import *  # noqa: F403
from hickoryloom.placing.messages import *  # noqa: F403
from hickoryloom.placing.named_limit import *  # noqa: F403
from hickoryloom.placing.placer import *  # noqa: F403
from hickoryloom.placing.prefill import *  # noqa: F403
from hickoryloom.placing.requested_pause import *  # noqa: F403
from hickoryloom.placing.shared_rate import *  # noqa: F403
from hickoryloom.placing.shared_reports import *  # noqa: F403
from hickoryloom.placing.shared_speeds import *  # noqa: F403
from hickoryloom.placing.short_prompts import *  # noqa: F403
from hickoryloom.placing.speed import *  # noqa: F403
from hickoryloom.placing.tracked import *  # noqa: F403
from hickoryloom.placing.turn_queue import *  # noqa: F403

__all__ = [
    *brittle.__all__,
    *cold.__all__,
    *conditions.__all__,
    *memory.__all__,
    *messages.__all__,
    *named_limit.__all__,
    *placer.__all__,
    *prefill.__all__,
    *requested_pause.__all__,
    *shared_rate.__all__,
    *shared_reports.__all__,
    *shared_speeds.__all__,
    *short_prompts.__all__,
    *speed.__all__,
    *tracked.__all__,
    *turn_queue.__all__,
]
