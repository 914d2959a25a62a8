"""Evidence that one instance has and all need: records that spread among the instances."""

from hickoryloom.evidence.exchange import EvidenceExchange
from hickoryloom.evidence.messages import Record, Topic
from hickoryloom.evidence.ranking import InstanceRanking
from hickoryloom.evidence.records import SharedRecords

__all__ = ["EvidenceExchange", "InstanceRanking", "Record", "SharedRecords", "Topic"]
