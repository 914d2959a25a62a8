"""Which instance gets the requests of one that can't reach a service."""

import random
from collections import Counter

from hickoryloom.handover import HandOverPeer, HandOverPeers

SERVICE = "s"
NOW = 10.0


def build_peers(number, cut=(), own="a:0"):
    peers = HandOverPeers(own, lambda address, service, now: address in cut, random.Random(1))
    peers.set_peers(HandOverPeer(f"a:{index}", f"d{index % 3}", "token") for index in range(number))
    return peers


def serve(peers, requests, at_once):
    """Hand requests over, `at_once` of them under way at a time; return how many each peer got."""
    counts, under_way = Counter(), []
    for _ in range(requests):
        peer = peers.choose(SERVICE, frozenset(), NOW)
        peers.record_sent(peer)
        counts[peer.address] += 1
        under_way.append(peer)
        if len(under_way) > at_once:
            peers.record_end(under_way.pop(0))
    return counts


def test_requests_of_an_instance_that_is_cut_off_are_spread_over_the_others():
    counts = serve(build_peers(7), 600, 12)
    assert set(counts) == {f"a:{index}" for index in range(1, 7)}
    assert max(counts.values()) <= 1.5 * 600 / 6


def test_with_five_of_six_instances_cut_off_the_sixth_gets_the_requests():
    peers = build_peers(6, cut={f"a:{index}" for index in range(5)})
    assert set(serve(peers, 50, 3)) == {"a:5"}


def test_nobody_gets_a_request_while_all_instances_are_cut_off():
    peers = build_peers(6, cut={f"a:{index}" for index in range(6)})
    assert peers.choose(SERVICE, frozenset(), NOW) is None


def test_a_peer_that_could_not_serve_is_left_out_for_a_second():
    peers = build_peers(2)
    peer = peers.choose(SERVICE, frozenset(), NOW)
    peers.skip(peer, SERVICE, NOW)
    assert peers.choose(SERVICE, frozenset(), NOW + 0.5) is None
    assert peers.choose("other", frozenset(), NOW + 0.5) == peer
    assert peers.choose(SERVICE, frozenset(), NOW + 1.5) == peer


def test_a_peer_without_a_token_takes_no_requests():
    peers = HandOverPeers("a:0", lambda *_: False, random.Random(1))
    peers.set_peers([HandOverPeer("a:1", "d", "")])
    assert peers.choose(SERVICE, frozenset(), NOW) is None
