"""Selection of the backend server for a request."""

from hickoryloom.placing import messages, placer, prefill, quiet, tracked
from hickoryloom.placing.messages import *  # noqa: F403
from hickoryloom.placing.placer import *  # noqa: F403
from hickoryloom.placing.prefill import *  # noqa: F403
from hickoryloom.placing.quiet import *  # noqa: F403
from hickoryloom.placing.tracked import *  # noqa: F403

__all__ = [
    *messages.__all__,
    *placer.__all__,
    *prefill.__all__,
    *quiet.__all__,
    *tracked.__all__,
]
