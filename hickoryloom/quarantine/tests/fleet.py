"""Quarantines of several instances, for tests."""

from hickoryloom.evidence import InstanceRanking, SharedRecords
from hickoryloom.quarantine import QUARANTINE_TOPICS, Quarantine


class Fleet:
    """Quarantines of several instances that exchange their records at once.

    Attributes:
        now: Monotonic time in seconds.
    """

    def __init__(self, number=3):
        self.now = 1000.0
        addresses = [f"10.0.0.{index}:1" for index in range(number)]
        self.members = []
        self._records = []
        for index, address in enumerate(addresses):
            ranking = InstanceRanking(address)
            ranking.set_others(addresses)
            records = SharedRecords(f"p{index}", QUARANTINE_TOPICS)
            self._records.append(records)
            self.members.append(Quarantine(f"i{index}", records, ranking))

    def exchange(self):
        """Pass all new records on until there are none."""
        while any(changes := [records.take_changes() for records in self._records]):
            for source, new in zip(self._records, changes, strict=True):
                for records in self._records:
                    if records is not source:
                        records.merge(new, self.now)

    def end(self, server, *prompts, by=0, responding=True, after_s=1.0, ran_s=0.5):
        """Let a server end that was running some prompts."""
        self.now += after_s
        for prompt in prompts:
            sent_at = self.now - ran_s
            self.members[by].record_end(server, prompt, responding, sent_at, self.now)
        self.exchange()

    def cut_off(self, server, *requests, by=0, after_s=1.0, ran_s=0.1):
        """Let a server end that was running some requests, which have no parts."""
        self.now += after_s
        for request in requests:
            self.members[by].record_cut_off(server, request, self.now - ran_s, self.now)
        self.exchange()

    def answer(self, prompt, by=0, after_s=0.01):
        self.now += after_s
        self.members[by].record_answer(prompt, self.now)
        self.exchange()

    def holds_back(self, prompt):
        held = {member.wait_s(prompt, self.now) > 0 for member in self.members}
        self.exchange()
        assert len(held) == 1
        return held.pop()

    def refuse(self, prompt, by=0):
        self.members[by].record_refused(prompt, self.now)
        self.exchange()
