"""Sharing of what one instance reads from the store with others of its failure domain.

In a large fleet, reading the store at every instance costs more calls than all other work. A few
instances of each failure domain, the readers, follow the store. The others poll a reader for the
version of the configuration that it last confirmed, for changed registrations, and for the mean
load of an instance.
"""

from hickoryloom.sharing import history, messages, readers, sample, server, task
from hickoryloom.sharing.history import *  # noqa: F403
from hickoryloom.sharing.messages import *  # noqa: F403
from hickoryloom.sharing.readers import *  # noqa: F403
from hickoryloom.sharing.sample import *  # noqa: F403
from hickoryloom.sharing.server import *  # noqa: F403
from hickoryloom.sharing.task import *  # noqa: F403

__all__ = [
    *history.__all__,
    *messages.__all__,
    *readers.__all__,
    *sample.__all__,
    *server.__all__,
    *task.__all__,
]
