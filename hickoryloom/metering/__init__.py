"""Usage metering: request counts per customer and window, summed in the store and reported once."""

from hickoryloom.metering import custody, messages, meter, reporter, task, totals
from hickoryloom.metering.custody import *  # noqa: F403
from hickoryloom.metering.messages import *  # noqa: F403
from hickoryloom.metering.meter import *  # noqa: F403
from hickoryloom.metering.reporter import *  # noqa: F403
from hickoryloom.metering.task import *  # noqa: F403
from hickoryloom.metering.totals import *  # noqa: F403

__all__ = [
    *custody.__all__,
    *messages.__all__,
    *meter.__all__,
    *reporter.__all__,
    *task.__all__,
    *totals.__all__,
]
