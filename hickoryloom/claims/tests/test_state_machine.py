"""State machine of entries, requests and a lossy platform: a call runs at most once."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hickoryloom.claims.codec import record_from_json
from hickoryloom.claims.epochs import EPOCH_S, MAX_VIEW_AGE_S, is_expired
from hickoryloom.claims.tests.model import Attempt, Entry, Platform, SendStep
from hickoryloom.store import DeleteStep
from hickoryloom.verdict import Verdict

DAY_S = 24 * 3600.0
FATES = st.sampled_from(["ok"] * 6 + ["lost", "vanish", "late", "down", "stale"])
OUTCOMES = st.sampled_from(["answered", "answered", "lost", "not-run"])
NUMBERS = st.integers(0, 3)
ENTRIES = st.integers(0, 2)
MAX_OPEN_ATTEMPTS = 4


class ClaimsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 1_000_000.0
        self.platform = Platform()
        self.epoch = 1
        self.epoch_since = self.now
        self.entries = [Entry(f"e{n}") for n in range(3)]
        for entry in self.entries:
            entry.epoch_read = self.now
        self.believed_live = {entry.incarnation for entry in self.entries}
        self.attempts = []
        self.runs = []
        self.counter = 0

    @property
    def open_attempts(self):
        return [
            attempt for attempt in self.attempts if not attempt.finished and attempt.entry.alive
        ]

    @precondition(lambda self: len(self.open_attempts) < MAX_OPEN_ATTEMPTS)
    @rule(
        entry=ENTRIES,
        key=st.sampled_from("aaaaab"),
        body=st.sampled_from("xxxxxy"),
        progress=st.sampled_from([0, 1, 1, 2, 5, 20]),
        wait_s=st.sampled_from([0.0, 1.0, 15.0]),
    )
    def request_starts_and_pauses(self, entry, key, body, progress, wait_s):
        self.now += wait_s
        chosen = self.entries[entry]
        if self.now - chosen.epoch_read > MAX_VIEW_AGE_S:
            chosen.epoch, chosen.epoch_read = self.epoch, self.now
        self.counter += 1
        name = f"{chosen.incarnation}/{self.counter}"
        attempt = Attempt(chosen, name, f"claims/{key}", body, self)
        attempt.start()
        self.attempts.append(attempt)
        self.step(attempt, ["ok"] * progress, "answered")

    @precondition(lambda self: self.open_attempts)
    @rule(number=NUMBERS, fates=st.lists(FATES, min_size=1, max_size=3), outcome=OUTCOMES)
    def run_some_steps(self, number, fates, outcome):
        self.step(self.choose(number), fates, outcome)

    @precondition(lambda self: self.open_attempts)
    @rule(number=NUMBERS, outcome=OUTCOMES)
    def run_to_completion(self, number, outcome):
        self.step(self.choose(number), ["ok"] * 20, outcome)

    @precondition(lambda self: self.open_attempts)
    @rule(number=NUMBERS, fate=st.sampled_from(["lost", "vanish", "late", "down"]))
    def run_with_failing_calls(self, number, fate):
        self.step(self.choose(number), [fate] * 4, "lost")

    def choose(self, number):
        return self.open_attempts[number % len(self.open_attempts)]

    def step(self, attempt, fates, outcome):
        for fate in fates:
            if attempt.finished:
                return
            if isinstance(attempt.step, SendStep):
                self.send(attempt, outcome)
            else:
                attempt.advance(self.platform.handle(attempt.step, fate))

    def send(self, attempt, outcome):
        if not attempt.step.claim.may_send(self.now):
            outcome = "not-run"
        if outcome != "not-run":
            attempt.sent = True
            self.runs.append((attempt.key, self.now, attempt))
        attempt.advance(outcome)

    @precondition(lambda self: self.platform.delayed)
    @rule(number=NUMBERS)
    def delayed_write_arrives(self, number):
        delayed = self.platform.delayed
        self.platform.apply(delayed.pop(number % len(delayed)))

    @rule(entry=ENTRIES)
    def entry_crashes_and_is_replaced(self, entry):
        old = self.entries[entry]
        old.alive = False
        self.believed_live.discard(old.incarnation)
        self.counter += 1
        new = Entry(f"e{self.counter}", epoch=self.epoch, epoch_read=self.now)
        self.entries[entry] = new
        self.believed_live.add(new.incarnation)

    @rule(entry=ENTRIES)
    def live_entry_is_believed_dead(self, entry):
        self.believed_live.discard(self.entries[entry].incarnation)

    @rule(seconds=st.sampled_from([1.0, 15.0, 15.0, 130.0, 700.0, 5 * EPOCH_S, 30 * EPOCH_S]))
    def advance_time_and_sweep_expired_claims(self, seconds):
        self.now += seconds % EPOCH_S
        for _ in range(int(seconds // EPOCH_S)):
            self.now += EPOCH_S
            if self.now - self.epoch_since >= EPOCH_S:
                self.epoch += 1
                self.epoch_since = self.now
        for key in list(self.platform.states):
            found = self.platform.current(key)
            if found and is_expired(record_from_json(found.value).epoch, self.epoch):
                self.platform.apply(DeleteStep(key, found.version))

    @invariant()
    def each_call_runs_at_most_once_a_day(self):
        for number, (key, time, attempt) in enumerate(self.runs):
            for other_key, other_time, other in self.runs[:number]:
                if key == other_key:
                    assert time - other_time >= DAY_S, (attempt.name, other.name)

    @invariant()
    def not_run_verdicts_are_correct(self):
        for attempt in self.attempts:
            if attempt.verdict is Verdict.NOT_RUN:
                assert not attempt.sent, attempt.name

    @invariant()
    def replayed_responses_match_the_run(self):
        answers = [run[2].answer for run in self.runs]
        for attempt in self.attempts:
            if attempt.replayed is not None:
                assert attempt.replayed in answers
                assert attempt.replayed.body.endswith(attempt.body.encode())


ClaimsMachine.TestCase.settings = settings(max_examples=400, stateful_step_count=40)
TestClaims = ClaimsMachine.TestCase
