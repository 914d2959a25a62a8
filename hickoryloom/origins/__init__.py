"""Which software version began a stream, over all instances."""

from hickoryloom.origins.journals_task import OriginJournals
from hickoryloom.origins.keepers import OriginKeepers
from hickoryloom.origins.listed import ListedVersions
from hickoryloom.origins.lists_task import VersionLists
from hickoryloom.origins.messages import Origin, origin_key
from hickoryloom.origins.state import ORIGIN_TOPICS, OriginMemory, SoftwareVersions
from hickoryloom.origins.task import StreamOrigins

__all__ = [
    "ListedVersions",
    "ORIGIN_TOPICS",
    "Origin",
    "OriginJournals",
    "OriginKeepers",
    "OriginMemory",
    "SoftwareVersions",
    "StreamOrigins",
    "VersionLists",
    "origin_key",
]
