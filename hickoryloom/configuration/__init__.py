"""Reads, validates, publishes and follows the operators' configuration documents."""

from hickoryloom.configuration import (
    changes,
    checking,
    documents,
    follower,
    freshness,
    peers,
    publishing,
    reading,
    snapshot,
)
from hickoryloom.configuration.changes import *  # noqa: F403
from hickoryloom.configuration.checking import *  # noqa: F403
from hickoryloom.configuration.documents import *  # noqa: F403
from hickoryloom.configuration.follower import *  # noqa: F403
from hickoryloom.configuration.freshness import *  # noqa: F403
from hickoryloom.configuration.peers import *  # noqa: F403
from hickoryloom.configuration.publishing import *  # noqa: F403
from hickoryloom.configuration.reading import *  # noqa: F403
from hickoryloom.configuration.snapshot import *  # noqa: F403

__all__ = [
    *changes.__all__,
    *checking.__all__,
    *documents.__all__,
    *follower.__all__,
    *freshness.__all__,
    *peers.__all__,
    *publishing.__all__,
    *reading.__all__,
    *snapshot.__all__,
]
