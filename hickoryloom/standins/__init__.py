"""Stand-ins: small fake servers of the external systems, with fault injection.

There is one for the platform, one for a model engine and one for a plain HTTP service. They are
used by tests and demos.
"""

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
