"""Responses with objects that can't be read, in the protocol of the stand-in."""

import json

import pytest

from hickoryloom.http import JsonResponse
from hickoryloom.store import Change, DefaultCodec, Versioned
from hickoryloom.store.responses import read_backends

SOUND = b'{"key":"a/1","version":2,"value":{"x":1}}'


@pytest.mark.parametrize(
    ("bad", "value_only"),
    [
        (b'{"key":"a/2","version":3,"value":"\xff"}', True),
        (b'{"key":"a/2","version":3,"value":%s}' % (b"9" * 5000), True),
        (b'{"key":"a/\xff","version":3,"value":{}}', False),
        (b'{"key":7,"version":3,"value":{}}', False),
        (b'{"key":"a/2","version":"x","value":{}}', False),
        (b"[[[}", False),
    ],
)
def test_an_object_that_can_not_be_read_leaves_the_others(bad, value_only):
    codec = DefaultCodec()
    raw = b'{"revision":5,"reset":false,"items":[%s,%s],"changes":[%s,%s]}' % ((bad, SOUND) * 2)
    response = JsonResponse(200, codec.decode(raw))
    listing = codec.read_listing("a/", response).ok_value.listing
    batch = codec.read_batch("a/", response).ok_value
    unreadable = [("a/2", 3, None)] if value_only else []
    expected = [*unreadable, ("a/1", 2, {"x": 1})]
    assert listing.items == tuple(Versioned(*fields) for fields in expected)
    assert listing.unreadable == (not value_only)
    assert batch.changes == tuple(Change(*fields) for fields in expected)


@pytest.mark.parametrize("bad", [b'{"id":"\xff","pool":"p"}', b"{}", b"7", b"[", b"null"])
def test_a_live_backend_server_that_can_not_be_read_leaves_the_others(bad):
    row = {"id": "e1", "address": "127.0.0.1:1", "failure_domain": "d", "pool": "p"}
    raw = b'{"backends":[%s,%s]}' % (
        bad,
        json.dumps({**row, "cheap": False, "state": "live"}).encode(),
    )
    response = JsonResponse(200, DefaultCodec().decode(raw))
    assert [found.id for found in read_backends(response).ok_value] == ["e1"]
