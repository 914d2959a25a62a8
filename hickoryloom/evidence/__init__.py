"""Evidence that one instance has and all need: records that spread among the instances."""

from hickoryloom.evidence.exchange import EvidenceExchange
from hickoryloom.evidence.messages import (
    AgedRecord,
    Record,
    Topic,
    record_with_age,
    record_with_time,
)
from hickoryloom.evidence.ranking import InstanceRanking
from hickoryloom.evidence.records import SharedRecords
from hickoryloom.evidence.standing import InstanceStanding

__all__ = [
    "AgedRecord",
    "EvidenceExchange",
    "InstanceRanking",
    "InstanceStanding",
    "Record",
    "SharedRecords",
    "Topic",
    "record_with_age",
    "record_with_time",
]
