"""Each request is reported once unless a crash lost it, and each window has one report."""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from hickoryloom.clock import ManualClock
from hickoryloom.usage import UsageCounter, UsageKey, UsageReporter, UsageTotals
from hickoryloom.usage.figures import from_rows
from hickoryloom.usage.tests.fakes import FixedLease, UsageStore

WINDOW_S = 60.0
ENTRIES = ("e1", "e2", "e3")
REPORTERS = ("c1", "c2")
names = st.sampled_from(ENTRIES)
reporters = st.sampled_from(REPORTERS)


@attrs.define
class Entry:
    """One incarnation of an entry process; each request is counted under its own customer."""

    counter: UsageCounter
    clock: ManualClock
    served: set = attrs.field(factory=set)


def customers(rows):
    return {key.customer for key in from_rows(rows)}


class UsageMachine(RuleBasedStateMachine):
    """Entry processes, their copies at peers, and two reporters that both hold the lease."""

    @initialize()
    def start_processes(self):
        self.store = UsageStore()
        self.started = 0
        self.requests = 0
        self.elapsed = 0.0
        self.may_be_lost = set()
        self.served = set()
        self.entries = {name: self._start_entry(name) for name in ENTRIES}
        self.reporters = {name: self._start_reporter(name) for name in REPORTERS}

    def _start_entry(self, name):
        self.started += 1
        clock = ManualClock(now=self.elapsed)
        incarnation = f"{name}-{self.started}"
        return Entry(UsageCounter(self.store, clock, incarnation, WINDOW_S), clock)

    def _start_reporter(self, name):
        self.started += 1
        clock = ManualClock(now=self.elapsed)
        lease = FixedLease(self.started)
        reporter = UsageReporter(self.store, clock, lease, f"{name}-{self.started}", WINDOW_S)
        return (reporter, clock)

    @rule(name=names, count=st.integers(1, 3))
    def serve(self, name, count):
        entry = self.entries[name]
        for _ in range(count):
            self.requests += 1
            customer = f"r{self.requests}"
            entry.counter.add(UsageKey(customer, "s", "c"), UsageTotals(1, 2, 3), customer)
            entry.served.add(customer)
            self.served.add(customer)

    @rule(seconds=st.sampled_from([1.0, 5.0, 16.0, 40.0, 80.0, 300.0, 700.0]))
    def pass_time(self, seconds):
        self.elapsed += seconds
        for clock in self._clocks():
            clock.advance(seconds)

    @rule(name=st.sampled_from(ENTRIES + REPORTERS), seconds=st.sampled_from([-200, -90, 50, 900]))
    def set_wall_clock(self, name, seconds):
        clock = self.entries[name].clock if name in ENTRIES else self.reporters[name][1]
        clock.epoch += seconds

    @rule(name=names)
    def write(self, name):
        self.entries[name].counter._write_due()

    @rule(name=names)
    def write_all(self, name):
        self.entries[name].counter._flush()

    @rule(name=names, peer=names, answered=st.booleans())
    def copy(self, name, peer, answered):
        if name == peer:
            return
        holder = self.entries[peer].counter
        for part in self.entries[name].counter._ledger.parts:
            copy = part.build_copy(holder._incarnation)
            if copy is not None:
                held = holder.accept_copy(copy)
                accepted = answered and held == copy.sequence
                part.on_copied(holder._incarnation, held if accepted else 0)

    @rule(name=reporters)
    def run_reporter(self, name):
        self.reporters[name][0].run_pass()

    @rule(name=reporters, delay_s=st.sampled_from([80.0, 80.0, 2000.0]))
    def seal(self, name, delay_s):
        """Let windows end and seal them; after the longer time, reported rows are dropped."""
        self.pass_time(delay_s)
        for _ in range(3):
            self.run_reporter(name)

    @rule(name=names, reporter=reporters, lost=st.booleans())
    def write_before_and_after_sealing(self, name, reporter, lost):
        """Write, possibly with a lost response, seal, and count more in the same window."""
        self.serve(name, 1)
        if lost:
            self.store.lose_answers = 1
        self.write_all(name)
        self.seal(reporter, 80.0)
        self.set_wall_clock(name, -90)
        self.serve(name, 2)
        self.write_all(name)

    @rule(name=names, peer=names, copy_twice=st.booleans(), survives=st.booleans())
    def become_silent(self, name, peer, copy_twice, survives):
        """Let a peer write its copy because the entry process is silent, crashed or not."""
        self.serve(name, 1)
        self.copy(name, peer, True)
        if copy_twice:
            self.serve(name, 1)
            self.copy(name, peer, True)
        if not survives:
            self.crash_entry(name)
        self.pass_time(16.0)
        self.write(peer)
        if survives:
            self.serve(name, 1)
            self.write_all(name)

    @rule(name=names)
    def crash_entry(self, name):
        """Crash an entry; figures held by neither the platform nor a live peer may be lost."""
        entry = self.entries.pop(name)
        saved = self._stored() | self._held_by_peers()
        self.may_be_lost |= entry.served - saved
        copies = entry.counter._copies._by_source.values()
        self.may_be_lost |= {key.customer for held in copies for key in held.figures} - saved
        self.entries[name] = self._start_entry(name)

    @rule(name=reporters)
    def crash_reporter(self, name):
        self.reporters[name] = self._start_reporter(name)

    @rule(down=st.booleans())
    def set_outage(self, down):
        self.store.down = down

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.store.lose_answers = count
        self.store.lose_reports = count

    @rule(count=st.integers(1, 4))
    def show_stale_reads(self, count):
        self.store.stale_reads = count

    @rule(name=st.sampled_from(ENTRIES + REPORTERS))
    def interrupt_next_write(self, name):
        """Let another process act immediately before the next write of any process."""
        if name in ENTRIES:
            self.store.interrupts.append(lambda: self.entries[name].counter._flush())
        else:
            self.store.interrupts.append(lambda: self.reporters[name][0].run_pass())

    def teardown(self):
        """End all faults, let all windows pass, and compare the reports with what was served."""
        if not hasattr(self, "store"):
            return
        self.store.down = False
        self.store.lose_answers = self.store.lose_reports = self.store.stale_reads = 0
        self.store.interrupts.clear()
        for _ in range(12):
            for entry in self.entries.values():
                entry.counter._flush()
            self.pass_time(2.5 * WINDOW_S)
            for _ in range(5):
                self.reporters["c1"][0].run_pass()
        self._compare()

    def _compare(self):
        reported = [row for report in self.store.reports.values() for row in report.figures["rows"]]
        counts = [(row[0], row[3]) for row in reported]
        assert all(requests == 1 for _, requests in counts), counts
        reported_customers = [customer for customer, _ in counts]
        assert len(reported_customers) == len(set(reported_customers)), "counted twice"
        assert set(reported_customers) <= self.served
        assert self.served - set(reported_customers) <= self.may_be_lost | self._discarded()

    def _clocks(self):
        entries = [entry.clock for entry in self.entries.values()]
        return entries + [clock for _, clock in self.reporters.values()]

    def _stored(self):
        objects = [v for key, (_, v) in self.store.objects.items() if key.startswith("usage/")]
        sealed = [
            v for key, (_, v) in self.store.objects.items() if key.startswith("sealed-parts/")
        ]
        return {name for value in objects + sealed for name in customers(value["rows"])}

    def _held_by_peers(self):
        held = [h for e in self.entries.values() for h in e.counter._copies._by_source.values()]
        return {key.customer for copy in held for key in copy.figures}

    def _discarded(self):
        """Return what writers discarded because the stored rows had been dropped."""
        parts = [part for entry in self.entries.values() for part in entry.counter._ledger.parts]
        return {key.customer for part in parts for key in part.writer.discarded}


UsageMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=30)
TestUsageMachine = UsageMachine.TestCase
