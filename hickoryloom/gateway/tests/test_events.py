import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.gateway.events import EventCutter, EventGapError


def stream(first, last, end=b"\n"):
    return b"".join(b"id: %d%sdata: x%s%s" % (id, end, end, end) for id in range(first, last + 1))


@given(
    st.integers(1, 8), st.lists(st.integers(1, 40), max_size=12), st.sampled_from([b"\n", b"\r\n"])
)
def test_any_cutting_passes_on_the_same_bytes_in_whole_events(count, sizes, end):
    data = stream(1, count, end)
    cutter = EventCutter()
    passed = b""
    rest = data
    for size in [*sizes, len(data)]:
        passed += cutter.feed(rest[:size])
        rest = rest[size:]
        assert data.startswith(passed)
        assert not passed or passed.endswith(end + end)
    assert passed == data
    assert cutter.last_id == count


def test_half_an_event_is_held_back():
    cutter = EventCutter()
    assert cutter.feed(stream(1, 1) + b"id: 2\ndat") == stream(1, 1)
    assert cutter.rest == b"id: 2\ndat"
    cutter.drop_rest()
    assert cutter.feed(stream(2, 2)) == stream(2, 2)


@pytest.mark.parametrize("data", [stream(1, 1) + stream(3, 3), stream(1, 2) + stream(2, 2)])
def test_a_missing_or_doubled_event_is_an_error(data):
    with pytest.raises(EventGapError):
        EventCutter().feed(data)


def test_a_resumed_stream_must_go_on_after_the_last_event():
    cutter = EventCutter(4)
    with pytest.raises(EventGapError):
        cutter.feed(stream(4, 4))
