"""Declaration and validation of options, and the settings of processes."""

from hickoryloom.config import faults, json_files, loading, options, records, settings
from hickoryloom.config.faults import *  # noqa: F403
from hickoryloom.config.json_files import *  # noqa: F403
from hickoryloom.config.loading import *  # noqa: F403
from hickoryloom.config.options import *  # noqa: F403
from hickoryloom.config.records import *  # noqa: F403
from hickoryloom.config.settings import *  # noqa: F403

__all__ = [
    *faults.__all__,
    *json_files.__all__,
    *loading.__all__,
    *options.__all__,
    *records.__all__,
    *settings.__all__,
]
