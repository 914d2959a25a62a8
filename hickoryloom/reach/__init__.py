"""Whether this instance can open connections to the servers of a service."""

from hickoryloom.reach.state import REACH_TOPICS, Reach
from hickoryloom.reach.task import ReachProbe
from hickoryloom.reach.witness import EndWitness

__all__ = ["REACH_TOPICS", "EndWitness", "Reach", "ReachProbe"]
