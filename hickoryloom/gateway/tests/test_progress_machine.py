"""At most one run of a request that must run once, and refusals that are true."""

from hypothesis import assume, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hickoryloom.catalog import RequestKind, Route, Target
from hickoryloom.gateway.progress import MAX_CONNECTS, Progress
from hickoryloom.gateway.refusals import refuse
from hickoryloom.upstream import AttemptFailed, FailureCause
from hickoryloom.verdict import Verdict

TIMEOUT_S = 4.0
PROMISES = (408, 421, 429, 503)
LOST = (FailureCause.CUT, FailureCause.SILENT, FailureCause.MALFORMED, FailureCause.CROSSED)


class Requests(RuleBasedStateMachine):
    """One request goes from backend server to backend server; the truth is known to the test."""

    @initialize(
        kind=st.sampled_from(RequestKind), resumable=st.booleans(), attempts=st.integers(0, 4)
    )
    def begin(self, kind, resumable, attempts):
        self.route = Route(
            "r",
            "h",
            "/",
            kind,
            TIMEOUT_S,
            0.4,
            (Target("s"),),
            max_attempts=attempts,
            resumable=resumable and kind is RequestKind.STREAM,
        )
        self.now = 0.0
        self.progress = Progress(self.route, TIMEOUT_S)
        self.runs = 0
        self.server = 0
        self.outstanding = False
        self.ended = False
        self.sent_at = []

    @precondition(lambda self: not self.outstanding and not self.ended)
    @rule()
    def send(self):
        """Make an attempt as the gateway does: only if nothing speaks against it."""
        if self.progress.blocked(self.now):
            self.end()
            return
        assert not self.progress.left and self.now < TIMEOUT_S
        self.server += 1
        self.progress.note_sent()
        self.sent_at.append(self.now)
        self.outstanding = True

    @precondition(lambda self: not self.outstanding and not self.ended)
    @rule()
    def fail_to_connect(self):
        if self.progress.blocked(self.now):
            self.end()
            return
        self.server += 1
        self.progress.note_unreachable(str(self.server))

    @precondition(lambda self: self.outstanding)
    @rule(cause=st.sampled_from(LOST), ran=st.booleans())
    def lose_the_answer(self, cause, ran):
        """Nobody but the backend server knows whether it ran the request."""
        self.runs += ran
        self.fail(AttemptFailed(cause, Verdict.MAY_HAVE_RUN))

    @precondition(lambda self: self.outstanding)
    @rule(cause=st.sampled_from((FailureCause.NOT_RUN, FailureCause.CUT)))
    def be_rejected(self, cause):
        """The backend server says that it did not run it, or nothing of it was written."""
        self.fail(AttemptFailed(cause, Verdict.NOT_RUN))

    @precondition(lambda self: self.outstanding)
    @rule(cause=st.sampled_from(LOST + (FailureCause.STATUS,)))
    def break_off_the_answer(self, cause):
        """The answer began, so the request has run, and then it failed."""
        self.runs += 1
        self.progress.note_accepted()
        self.fail(AttemptFailed(cause, Verdict.MAY_HAVE_RUN))

    @precondition(lambda self: self.outstanding)
    @rule()
    def answer(self):
        self.runs += 1
        self.progress.note_accepted()
        self.progress.note_answered()
        self.outstanding = False
        self.ended = True

    @precondition(lambda self: not self.ended)
    @rule(ran=st.booleans())
    def leave(self, ran):
        """The caller goes; an attempt under way is cut, and may have run."""
        self.progress.left = True
        if self.outstanding:
            self.runs += ran
            self.fail(AttemptFailed(FailureCause.CANCELLED, Verdict.MAY_HAVE_RUN))

    @rule(seconds=st.floats(0.01, 2.0))
    def wait(self, seconds):
        assume(self.now < 2 * TIMEOUT_S)
        self.now += seconds

    def fail(self, failed):
        self.outstanding = False
        self.progress.note_failed(str(self.server), failed)
        if not self.progress.may_follow(failed):
            self.end()

    def end(self):
        """Check the final answer against what has really happened."""
        self.ended = True
        refusal = refuse(0, self.progress.cause, self.progress.verdict, 1.0)
        if refusal.status in PROMISES:
            assert self.runs == 0
        else:
            assert refusal.retry_after_s is None
        blocked = self.progress.blocked(self.now)
        if self.route.kind is RequestKind.ONCE and self.runs:
            assert blocked

    @invariant()
    def a_request_that_must_run_once_runs_once(self):
        if hasattr(self, "route") and not self.route.repeatable:
            assert self.runs <= 1

    @invariant()
    def attempts_stay_within_the_route_s_number(self):
        if hasattr(self, "route"):
            assert len(self.sent_at) <= max(1, self.route.max_attempts)
            assert self.progress.connects <= MAX_CONNECTS


TestRequests = Requests.TestCase
TestRequests.settings = settings(max_examples=300, stateful_step_count=30)


def test_a_lost_answer_ends_a_request_that_must_run_once():
    route = Route("r", "h", "/", RequestKind.ONCE, 4.0, 0.4, (Target("s"),), max_attempts=3)
    progress = Progress(route, TIMEOUT_S)
    progress.note_sent()
    lost = AttemptFailed(FailureCause.SILENT, Verdict.MAY_HAVE_RUN)
    progress.note_failed("a", lost)
    assert not progress.may_follow(lost)
    assert progress.blocked(0.1) == "timeout"
    assert refuse(0, progress.cause, progress.verdict, 1.0).status == 504
