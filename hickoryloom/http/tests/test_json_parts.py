"""Documents in which single objects can't be read."""

import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hickoryloom.http import Parts, Unreadable, decode_json_parts

PARTS = Parts(
    frozenset(("items", "events", "object", "metadata")), frozenset(("metadata", "object"))
)
BAD_VALUES = {
    "bytes": b'"v\xff\xfe1"',
    "cut-character": b'"\xc3"',
    "digits": b"9" * 5000,
    "nested": b"[" * 3000 + b"]" * 3000,
    "nested-objects": b'{"metadata":' * 3000 + b"1" + b"}" * 3000,
    "key": b'{"\xff":1}',
    "control": b'"a\x00b"',
    "escape": b'"\\x41"',
    "word": b"undefined",
    "empty": b"",
    "unclosed-text": b'"v1',
    "unclosed-list": b'[{"a":1},{"b":2}',
    "closed-list": b"]]",
    "objects-and-word": b'[{"a":1},{"b":2},x]',
    "quote": b'"a"b"',
    "blank": b"\xa0",
}


def build_item(name, value=b'{"service":"app","list":[{"a":"}"},{"b":"{"}]}'):
    return b'{"metadata":{"name":%s,"revision":7},"spec":%s}' % (name, value)


def build_sound(number):
    return build_item(b'"s%d"' % number)


def build_listing(items, separator=b","):
    return b'{"items":[' + separator.join(items) + b'],"has_more":false,"at":9}'


def sound_names(document):
    """Return the names of the items that can be used as a whole."""
    names = []
    for item in document["items"]:
        if isinstance(item, Unreadable) or isinstance(item.get("spec"), Unreadable | None):
            continue
        name, revision = (item["metadata"].get(name) for name in ("name", "revision"))
        if isinstance(name, str) and isinstance(revision, int):
            assert item["spec"]["service"] == "app"
            names.append(name)
    return names


@pytest.mark.parametrize("kind", BAD_VALUES)
@pytest.mark.parametrize("place", ["value", "field", "name", "revision"])
def test_an_object_that_can_not_be_read_leaves_the_others(kind, place):
    """Guards against one object that hides all others."""
    value = BAD_VALUES[kind]
    bad = {
        "value": build_item(b'"x"', value),
        "field": build_item(b'"x"', b'{"service":"app","version":%s,"zone":"a"}' % value),
        "name": build_item(value),
        "revision": b'{"metadata":{"name":"x","revision":%s},"spec":null}' % value,
    }[place]
    for items in ([bad], [bad, bad], [build_sound(0), bad], [bad, build_sound(1), bad, bad]):
        raw = build_listing(items)
        expected = [f"s{number}" for number in range(2) if build_sound(number) in items]
        document = decode_json_parts(raw, PARTS)
        assert sound_names({"items": document["items"]}) == expected
        assert (document["at"], document["has_more"]) == (9, False)


@settings(max_examples=300)
@given(
    parts=st.lists(
        st.one_of(st.none(), st.sampled_from(list(BAD_VALUES)), st.binary(max_size=12)), max_size=12
    ),
    field=st.booleans(),
    separator=st.sampled_from([b",", b", ", b" ,\n"]),
)
def test_sound_objects_are_read_between_any_others(parts, field, separator):
    items, expected = [], []
    for number, part in enumerate(parts):
        if part is None:
            items.append(build_sound(number))
            expected.append(f"s{number}")
            continue
        value = BAD_VALUES[part] if isinstance(part, str) else b'"' + part + b'\xff"'
        if field:
            value = b'{"service":"app","version":%s}' % value
        items.append(build_item(b'"x"', value))
    document = decode_json_parts(build_listing(items, separator), PARTS)
    names = sound_names(document)
    assert [name for name in names if name != "x"] == expected
    assert "x" not in names


def test_changes_are_read_part_by_part():
    sound, bad = build_sound(1), build_item(b'"x"', BAD_VALUES["bytes"])
    raw = b'{"events":[{"object":%s,"deleted":false},{"object":%s}],"at":3}' % (bad, sound)
    first, second = decode_json_parts(raw, PARTS)["events"]
    assert isinstance(first["object"]["spec"], Unreadable)
    assert first["object"]["metadata"] == {"name": "x", "revision": 7}
    assert second["object"] == json.loads(sound)


def test_the_text_of_a_name_that_is_no_utf_8_is_kept():
    document = decode_json_parts(build_listing([build_item(b'"a\xff\\"b"')]), PARTS)
    assert document["items"][0]["metadata"]["name"] == Unreadable('a\udcff"b')


@pytest.mark.parametrize("raw", [b"", b"\xff", b"[\xff]", b'{"items":[', b'{"items":"\xff"', b"x"])
def test_a_document_that_can_not_be_read_is_an_error(raw):
    with pytest.raises(ValueError):
        decode_json_parts(raw, PARTS)


def test_many_objects_that_can_not_be_read_cost_little_time():
    """Guards against a decoder whose time grows with the square of the size."""

    def measure(number):
        bad = [build_item(b'"x"', value) for value in (b'"v\xff1"', b'"v1', b"[" * 50, b"word")]
        raw = build_listing([*(build_sound(index) for index in range(number)), *(bad * number)])
        started_at = time.process_time()
        assert len(sound_names(decode_json_parts(raw, PARTS))) == number
        return time.process_time() - started_at

    measure(100)
    assert measure(2000) < 4 * 10 * max(0.001, measure(200))
