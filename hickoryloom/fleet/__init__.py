"""Fleet scaling: orders and releases backend servers by demand, cost and failure domain."""

from hickoryloom.fleet import demand, demand_collector, messages, planner, sizing, task
from hickoryloom.fleet.demand import *  # noqa: F403
from hickoryloom.fleet.demand_collector import *  # noqa: F403
from hickoryloom.fleet.messages import *  # noqa: F403
from hickoryloom.fleet.planner import *  # noqa: F403
from hickoryloom.fleet.sizing import *  # noqa: F403
from hickoryloom.fleet.task import *  # noqa: F403

__all__ = [
    *demand.__all__,
    *messages.__all__,
    *sizing.__all__,
    *planner.__all__,
    *demand_collector.__all__,
    *task.__all__,
]
