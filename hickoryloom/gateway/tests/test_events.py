import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.gateway.events import EventSequenceError, EventSplitter


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
    splitter.discard_incomplete()
    assert splitter.feed(stream(2, 2)) == stream(2, 2)


@pytest.mark.parametrize("data", [stream(1, 1) + stream(3, 3), stream(1, 2) + stream(2, 2)])
def test_a_missing_or_duplicate_event_is_an_error(data):
    with pytest.raises(EventSequenceError):
        EventSplitter().feed(data)


def test_a_resumed_stream_must_start_after_the_last_event():
    splitter = EventSplitter(4)
    with pytest.raises(EventSequenceError):
        splitter.feed(stream(4, 4))
