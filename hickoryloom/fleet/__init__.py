"""Fleet scaling: orders and releases backend servers by demand, cost and failure domain."""

from hickoryloom.fleet import demand, messages, sizing, state, survey, task
from hickoryloom.fleet.demand import *  # noqa: F403
from hickoryloom.fleet.messages import *  # noqa: F403
from hickoryloom.fleet.sizing import *  # noqa: F403
from hickoryloom.fleet.state import *  # noqa: F403
from hickoryloom.fleet.survey import *  # noqa: F403
from hickoryloom.fleet.task import *  # noqa: F403

__all__ = [
    *demand.__all__,
    *messages.__all__,
    *sizing.__all__,
    *state.__all__,
    *survey.__all__,
    *task.__all__,
]
