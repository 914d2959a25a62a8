"""Small stand-ins of the outside systems, with fault switches, for tests and trials."""

from hickoryloom.standins import base, engine, platform, service, text
from hickoryloom.standins.base import *  # noqa: F403
from hickoryloom.standins.engine import *  # noqa: F403
from hickoryloom.standins.platform import *  # noqa: F403
from hickoryloom.standins.service import *  # noqa: F403
from hickoryloom.standins.text import *  # noqa: F403

__all__ = [
    *base.__all__,
    *engine.__all__,
    *platform.__all__,
    *service.__all__,
    *text.__all__,
]
