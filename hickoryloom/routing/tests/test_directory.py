"""Tests of merging the platform's list, self reports and reports from peers."""

from hickoryloom.configuration import Pool, PoolKind, Snapshot, StaticBackend
from hickoryloom.routing import DirectoryState
from hickoryloom.store import BackendState, LiveBackend

POOL = Pool(
    "p", PoolKind.ENGINE, slots=4, servers=(StaticBackend("static", "10.0.0.1:1", "huta-a"),)
)


def row(id, state=BackendState.LIVE):
    return LiveBackend(id, f"{id}:1", "huta-a", "p", False, state)


def state_with(*rows):
    state = DirectoryState()
    state.set_snapshot(Snapshot(1, pools={"p": POOL}))
    state.apply_list(rows)
    return state


def leaving_ids(state, now=0.0):
    return {view.id for view in state.views(now) if view.leaving}


def ids(state, now=0.0):
    return {view.id for view in state.views(now)}


def test_merges_static_and_listed_backend_servers():
    state = state_with(row("a"), row("b", BackendState.STARTING))
    assert ids(state) == {"static", "a"}
    assert {view.slots for view in state.views(0.0)} == {4}


def test_leaving_mark_from_any_source_is_not_undone_by_a_stale_list():
    state = state_with(row("a"), row("b"), row("c"))
    state.apply_self_report("a", True, 0.0)
    state.apply_peer_leaving(["b"])
    state.apply_list([row("a"), row("b"), row("c", BackendState.LEAVING)])
    assert leaving_ids(state) == {"a", "b", "c"}
    state.apply_list([row("a"), row("b"), row("c")])
    state.apply_self_report("a", False, 1.0)
    state.apply_peer_leaving([])
    assert leaving_ids(state) == {"a", "b", "c"}


def test_static_backend_server_can_stop_leaving():
    state = state_with()
    state.apply_self_report("static", True, 0.0)
    state.apply_peer_leaving(["static"])
    assert leaving_ids(state) == {"static"}
    state.apply_self_report("static", False, 1.0)
    state.apply_peer_leaving([])
    assert leaving_ids(state) == set()


def test_backend_server_missing_from_the_list_is_removed():
    state = state_with(row("a"), row("b"), row("c"))
    state.apply_list([row("a"), row("b")])
    assert ids(state) == {"static", "a", "b"}


def test_servers_that_still_answer_are_kept_when_the_list_becomes_empty():
    state = state_with(row("a"), row("b"))
    state.apply_self_report("a", False, 10.0)
    state.apply_list([])
    state.apply_list([])
    assert ids(state, 12.0) == {"static", "a"}
    assert ids(state, 16.0) == {"static"}
