from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.sharing import Peer, select_readers
from hickoryloom.sharing.readers import MAX_FOLLOWERS, MIN_FOLLOWED_INSTANCES, MIN_READERS

sizes = st.integers(min_value=1, max_value=130)


def build_peers(size, domain="d"):
    return [Peer(f"{domain}-{number}", f"10.0.0.{number}:1", domain) for number in range(size)]


def choices(peers):
    return {peer.key: select_readers(peer.key, peer.failure_domain, peers) for peer in peers}


@given(sizes)
def test_no_instance_follows_one_that_follows_another(size):
    selected = choices(build_peers(size))
    for readers in selected.values():
        assert all(selected[reader.key] == () for reader in readers)


@given(sizes)
def test_each_domain_has_a_second_reader_and_no_reader_too_many_followers(size):
    selected = choices(build_peers(size))
    readers = [key for key, followed in selected.items() if not followed]
    if size < MIN_FOLLOWED_INSTANCES:
        assert len(readers) == size
        return
    assert len(readers) == min(size, max(MIN_READERS, -(-size // (MAX_FOLLOWERS + 1))))
    assert all(len(followed) >= MIN_READERS for followed in selected.values() if followed)


def test_followers_are_divided_between_the_readers():
    selected = choices(build_peers(40))
    first = [readers[0].key for readers in selected.values() if readers]
    counts = sorted(first.count(key) for key in set(first))
    assert len(counts) == 2
    assert counts[0] >= 10


def test_only_instances_of_the_own_failure_domain_are_followed():
    peers = build_peers(10, "a") + build_peers(10, "b")
    for key, readers in choices(peers).items():
        assert all(reader.failure_domain == key[0] for reader in readers)


def test_an_instance_that_is_not_listed_yet_follows_the_others():
    selected = [select_readers(f"new-{number}", "d", build_peers(9)) for number in range(20)]
    assert sum(1 for readers in selected if len(readers) == MIN_READERS) > 10
