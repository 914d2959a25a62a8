"""Streams stay in order whatever is wrong with one of their events, and wherever it arrives."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from hickoryloom.catalog import RequestKind
from hickoryloom.gateway.tests.test_forwarding import GatewayFake, serve
from hickoryloom.upstream import AttemptError, AttemptFailure, BufferBudget, FailureCause
from hickoryloom.verdict import Verdict

EVENTS = 6


def event(number):
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


def later_id(number):
    return event(number).replace(b"id: %d" % number, b"id: %d" % (number + 2))


def earlier_id(number):
    return event(number).replace(b"id: %d" % number, b"id: %d" % (number - 1))


def no_id(number):
    return event(number).replace(b"id:", b"ix:")


def id_not_a_number(number):
    return event(number).replace(b"id: ", b"id: x")


def no_data(number):
    return event(number).replace(b"data:", b"dbta:")


def blank_line_missing(number):
    return event(number)[:-1]


def blank_line_inside(number):
    return event(number).replace(b"\ndata", b"\n\ndata")


def sent_twice(number):
    return event(number) * 2


def left_out(number):
    return b""


FAULTS = (
    later_id,
    earlier_id,
    no_id,
    id_not_a_number,
    no_data,
    blank_line_missing,
    blank_line_inside,
    sent_twice,
    left_out,
)


class FaultyStreams(GatewayFake):
    """Servers of which the first spoils one event; a read returns several events or parts."""

    def __init__(self, fault, number, sizes):
        super().__init__(["answered"] * 9)
        self.fault = fault
        self.number = number
        self.sizes = list(sizes)

    def body_chunks(self, exchange):
        first = (self.resumptions[-1] or 0) + 1
        faulty = len(self.resumptions) == 1
        parts = []
        for number in range(first, EVENTS + 1):
            parts.append(self.fault(number) if faulty and number == self.number else event(number))
        data = b"".join(parts)
        while data:
            size = self.sizes.pop(0) if self.sizes else len(data)
            yield data[:size]
            data = data[size:]


@settings(max_examples=600)
@given(
    fault=st.sampled_from(FAULTS),
    number=st.integers(1, EVENTS),
    sizes=st.lists(st.integers(1, 150), max_size=12),
    resumable=st.booleans(),
)
def test_a_faulty_event_costs_no_sound_one(fault, number, sizes, resumable):
    """Guards against sound events that are skipped since a faulty one came in the same read."""
    # A last event that never comes can't be told from the end of a stream.
    last = number == EVENTS and fault is left_out
    fake = FaultyStreams(fault, number, sizes)
    response, body, complete = serve(fake, RequestKind.STREAM, 2, resumable)
    sound = [event(n) for n in range(1, EVENTS + 1)]
    if resumable:
        assert complete and body == b"".join(sound[:-1] if last else sound)
        return
    before = number if fault is sent_twice else number - 1
    if not before:
        assert response.status == 502 and body == b""
        return
    assert complete == last
    assert body == b"".join(sound[:before])


class FailingReads(GatewayFake):
    """Servers of which the first sends two events and part of a large one in one read."""

    def body_chunks(self, exchange):
        first = (self.resumptions[-1] or 0) + 1
        if first == 1:
            yield event(1) + event(2) + b"id: 3\ndata: " + b"x" * 100_000
            failure = AttemptFailure(FailureCause.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "reset")
            raise AttemptError(failure)
        yield b"".join(event(number) for number in range(first, EVENTS + 1))


def test_events_are_delivered_when_there_is_no_memory_for_the_next_one():
    """Guards against events that were read but not forwarded and yet count as forwarded."""
    for resumable in (True, False):
        fake = FailingReads(["answered"] * 2)
        fake.context = attrs.evolve(fake.context, buffers=BufferBudget(limit_bytes=0))
        _, body, complete = serve(fake, RequestKind.STREAM, 2, resumable)
        last = EVENTS if resumable else 2
        assert body == b"".join(event(number) for number in range(1, last + 1))
        assert complete == resumable
        assert fake.resumptions == ([None, 2] if resumable else [None])
