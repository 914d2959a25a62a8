"""Autoscaling: decides how many backend servers of each kind run in each failure domain."""

from hickoryloom.scaling import messages, orders, returning, sizing, task
from hickoryloom.scaling.messages import *  # noqa: F403
from hickoryloom.scaling.orders import *  # noqa: F403
from hickoryloom.scaling.returning import *  # noqa: F403
from hickoryloom.scaling.sizing import *  # noqa: F403
from hickoryloom.scaling.task import *  # noqa: F403

__all__ = [
    *messages.__all__,
    *orders.__all__,
    *returning.__all__,
    *sizing.__all__,
    *task.__all__,
]
