import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.gateway.events import MAX_EVENT_BYTES, EventSplitter


def stream(first, last, end=b"\n"):
    return b"".join(b"id: %d%sdata: x%s%s" % (id, end, end, end) for id in range(first, last + 1))


@given(
    st.integers(1, 8), st.lists(st.integers(1, 40), max_size=12), st.sampled_from([b"\n", b"\r\n"])
)
def test_any_chunking_yields_the_same_complete_events(count, sizes, end):
    data = stream(1, count, end)
    splitter = EventSplitter()
    forwarded = b""
    remaining = data
    for size in [*sizes, len(data)]:
        forwarded += splitter.feed(remaining[:size])
        remaining = remaining[size:]
        assert data.startswith(forwarded)
        assert not forwarded or forwarded.endswith(end + end)
    assert forwarded == data
    assert splitter.last_id == count


def test_an_incomplete_event_is_not_forwarded():
    splitter = EventSplitter()
    assert splitter.feed(stream(1, 1) + b"id: 2\ndat") == stream(1, 1)
    assert splitter.incomplete == b"id: 2\ndat"
    splitter.resume()
    assert splitter.feed(stream(2, 2)) == stream(2, 2)


FAULTY_EVENTS = {
    "missing": stream(4, 4),
    "duplicate": stream(2, 2),
    "no-id": b"data: x\n\n",
    "empty-id": b"id\ndata: x\n\n",
    "id-not-a-number": b"id: 3x\ndata: x\n\n",
    "negative-id": b"id: -3\ndata: x\n\n",
    "endless-id": b"id: " + b"3" * 5000 + b"\ndata: x\n\n",
    "two-ids": b"id: 3\ndata: x\nid: 4\ndata: x\n\n",
    "no-data": b"id: 3\n\n",
    "too-large": b"id: 3\ndata: " + b"x" * MAX_EVENT_BYTES,
}


@pytest.mark.parametrize("after", [b"", stream(4, 5)], ids=["last", "followed"])
@pytest.mark.parametrize("before", [0, 1, 2], ids=["alone", "after-one", "after-two"])
@pytest.mark.parametrize("name", FAULTY_EVENTS)
def test_events_before_a_faulty_one_are_returned_and_counted(name, before, after):
    """Guards against events that are lost with a faulty one of the same read."""
    splitter = EventSplitter(2 - before or None)
    sound = stream(3 - before, 2)
    assert splitter.feed(sound + FAULTY_EVENTS[name] + after) == sound
    assert splitter.last_id == (2 if before else 2 - before or None)
    assert splitter.fault
    assert splitter.feed(stream(3, 3)) == b""
    splitter.resume()
    assert splitter.feed(stream(3, 3)) == stream(3, 3)
    assert not splitter.fault


@pytest.mark.parametrize("last_id, id", [(None, 0), (None, 2), (4, 4), (4, 6)])
def test_a_stream_must_start_after_the_last_event(last_id, id):
    """Guards against gaps after a first event with a wrong id, from which streams are resumed."""
    splitter = EventSplitter(last_id)
    assert splitter.feed(stream(id, id + 1)) == b""
    assert splitter.fault and splitter.last_id == last_id


def test_comments_between_events_have_no_id():
    data = stream(1, 1) + b": still there\n\n" + stream(2, 2)
    splitter = EventSplitter()
    assert splitter.feed(data) == data and not splitter.fault
