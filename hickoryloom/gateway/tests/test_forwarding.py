"""A request's whole life on scripted backend servers: what ran, and what its caller is told."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from hickoryloom.catalog import (
    Catalog,
    Customer,
    RequestKind,
    Route,
    Target,
    build_urgency_scale,
)
from hickoryloom.discovery import BackendServer
from hickoryloom.gateway.attempts import GatewayParts
from hickoryloom.gateway.budget import RetryWindow
from hickoryloom.gateway.forwarding import Forwarding
from hickoryloom.gateway.messages import AnswerHead, CallerRequest, Refusal
from hickoryloom.metrics import MetricsRecorder
from hickoryloom.placing import Placer
from hickoryloom.upstream import AttemptError, AttemptFailed, FailureCause
from hickoryloom.verdict import Verdict

PROMISES = (408, 421, 429, 503)
EVENTS = 4
OUTCOMES = (
    "unreachable",
    "cut-before-run",
    "cut-after-run",
    "silent",
    "rejected",
    "misdirected",
    "failed",
    "promise-without-proof",
    "unsigned",
    "foreign",
    "encoded",
    "cut-midway",
    "answered",
)


class FakeClock:
    """Time that passes only when an exchange waits."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


class FakeExchange:
    """One exchange that goes as its outcome says; knows whether the request ran."""

    def __init__(self, site, outcome):
        self.site = site
        self.outcome = outcome
        self.keep_s = None
        self.read_until = None
        self.confirmed = outcome != "foreign"
        self.status = {"rejected": 503, "misdirected": 421, "failed": 500}.get(outcome, 200)
        if outcome == "promise-without-proof":
            self.status = 503
        self.headers = ()
        self._body = None

    def interrupt(self, cause):
        self.site.interrupted.append(cause)

    def header(self, name):
        return "gzip" if name == "content-encoding" and self.outcome == "encoded" else ""

    def error(self, cause, detail):
        return AttemptError(AttemptFailed(cause, Verdict.MAY_HAVE_RUN, detail))

    def send(self, head, body):
        if self.outcome not in ("cut-before-run", "rejected", "misdirected"):
            self.site.runs += 1
        if self.outcome in ("cut-before-run", "cut-after-run"):
            raise self.error(FailureCause.CUT, "reset")

    def read_head(self, skip_foreign):
        if self.outcome == "silent":
            self.site.clock.now = self.read_until
            raise self.error(FailureCause.SILENT, "no bytes in time")

    def check_id(self):
        if self.outcome == "foreign":
            raise self.error(FailureCause.CROSSED, "response of another request")

    def read(self):
        if self._body is None:
            self._body = self.site.blocks_of(self)
        return next(self._body, b"")


class Site:
    """All parts of a gateway, with one scripted outcome for each connection."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.clock = FakeClock()
        self.runs = 0
        self.resumptions = []
        self.interrupted = []
        self.rejecting = self.unsigned = False
        placer = Placer("d", random.Random(1))
        servers = [
            BackendServer(
                id=f"b{number}",
                service="s",
                address=f"127.0.0.1:{number}",
                failure_domain="d",
                slots=4,
                leaving=False,
            )
            for number in range(20)
        ]
        placer.set_servers(servers)
        window = RetryWindow(1.0, 1000.0, 10.0, 1)
        self.parts = GatewayParts(
            clock=self.clock,
            rng=random.Random(1),
            catalog=self,
            discovery=self,
            placer=placer,
            connections=self,
            backends=self,
            meter=self,
            metrics=MetricsRecorder(),
            retries=lambda service: window,
        )
        self.view = self.catalog = self
        self.urgency = build_urgency_scale(Catalog())
        self.version = 1
        self.customers = {"hash": None}

    # What the gateway asks of its parts.
    def is_usable(self, server):
        return True

    def trusts_keys(self, now):
        return True

    def age(self, now):
        return 0.0

    def note_demand(self, *arguments):
        """Not looked at."""

    note_refused = count = note_demand

    def open(self, address, id, method, fresh):
        outcome = self.outcomes.pop(0) if self.outcomes else "answered"
        if outcome == "unreachable":
            failed = AttemptFailed(FailureCause.CONNECT, Verdict.NOT_RUN, "refused")
            raise AttemptError(failed)
        self.rejecting = outcome == "rejected"
        self.unsigned = outcome == "unsigned"
        return FakeExchange(self, outcome)

    def close(self, exchange):
        """Connections are not kept."""

    def request_headers(self, request, server, customer, urgency, left_s, resume_after):
        self.resumptions.append(resume_after)
        assert left_s > 0
        return ()

    def read_head(self, status, headers):
        return AnswerHead(
            not_run=status == 503 and self.rejecting,
            misdirected=status == 421,
            signed=not self.unsigned,
            load=None,
            keep_s=None,
        )

    def answer_headers(self, headers):
        return headers

    def blocks_of(self, exchange):
        """Yield the body; a stream goes on after the last event that its caller has."""
        first = (self.resumptions[-1] or 0) + 1
        for number in range(first, EVENTS + 1):
            if exchange.outcome == "cut-midway" and number == first + 1:
                raise exchange.error(FailureCause.CUT, "reset")
            yield b"id: %d\ndata: x\n\n" % number


def serve(site, kind, max_attempts, resumable):
    """Serve one request; return the final answer, or the pieces and whether they are whole."""
    route = Route(
        "r",
        "h",
        "/",
        kind,
        4.0,
        0.4,
        (Target("s"),),
        max_attempts=max_attempts,
        resumable=resumable,
    )
    request = CallerRequest("id", "POST", "/x", "h", (), b"body", wait_s=4.0, key_hash="hash")
    forwarding = Forwarding(site.parts, request, route, "s", Customer("c"), site.clock.monotonic())
    answer = forwarding.run()
    if isinstance(answer, Refusal):
        return answer, b"", True
    pieces = []
    try:
        pieces.extend(answer.body)
    except ConnectionAbortedError:
        return answer, b"".join(pieces), False
    return answer, b"".join(pieces), True


@settings(max_examples=400)
@given(
    outcomes=st.lists(st.sampled_from(OUTCOMES), max_size=8),
    kind=st.sampled_from(RequestKind),
    max_attempts=st.integers(0, 4),
    resumable=st.booleans(),
)
def test_what_runs_and_what_the_caller_is_told(outcomes, kind, max_attempts, resumable):
    site = Site(outcomes)
    resumable = resumable and kind is RequestKind.STREAM
    answer, body, whole = serve(site, kind, max_attempts, resumable)
    repeatable = resumable or kind is RequestKind.REPEATABLE
    assert len(site.resumptions) <= max(1, max_attempts)
    if not repeatable:
        assert site.runs <= 1
    if isinstance(answer, Refusal) and answer.status in PROMISES:
        assert site.runs == 0
    if not isinstance(answer, Refusal) and answer.status < 300:
        every = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, EVENTS + 1))
        assert body == every if whole else every.startswith(body)


def test_a_rejected_request_goes_to_another_backend_server():
    answer, body, whole = serve(Site(["rejected", "misdirected"]), RequestKind.ONCE, 3, False)
    assert answer.status == 200 and whole


def test_a_lost_answer_of_a_request_that_must_run_once_is_final():
    site = Site(["cut-after-run", "answered"])
    answer, _, _ = serve(site, RequestKind.ONCE, 3, False)
    assert (answer.status, answer.retry_after_s, site.runs) == (502, None, 1)


def test_a_stream_cut_midway_goes_on_after_its_last_event():
    site = Site(["cut-midway", "answered"])
    _, body, whole = serve(site, RequestKind.STREAM, 2, True)
    assert whole and body.count(b"id: ") == EVENTS
    assert site.resumptions == [None, 1]


def test_a_stream_that_may_not_go_on_is_not_passed_off_as_whole():
    _, body, whole = serve(Site(["cut-midway"]), RequestKind.STREAM, 2, False)
    assert not whole and body.count(b"id: ") == 1
