"""The directory's joining of lists, own words and peers' words."""

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


def test_joins_static_and_listed_backend_servers():
    state = state_with(row("a"), row("b", BackendState.STARTING))
    assert ids(state) == {"static", "a"}
    assert {view.slots for view in state.views(0.0)} == {4}


def test_the_first_word_on_leaving_wins_and_a_lagging_list_does_not_undo_it():
    state = state_with(row("a"), row("b"), row("c"))
    state.apply_own_word("a", True, 0.0)
    state.apply_peers(["b"])
    state.apply_list([row("a"), row("b"), row("c", BackendState.LEAVING)])
    assert leaving_ids(state) == {"a", "b", "c"}
    state.apply_list([row("a"), row("b"), row("c")])
    state.apply_own_word("a", False, 1.0)
    state.apply_peers([])
    assert leaving_ids(state) == {"a", "b", "c"}


def test_a_static_backend_server_takes_its_own_word_back():
    state = state_with()
    state.apply_own_word("static", True, 0.0)
    state.apply_peers(["static"])
    assert leaving_ids(state) == {"static"}
    state.apply_own_word("static", False, 1.0)
    state.apply_peers([])
    assert leaving_ids(state) == set()


def test_a_row_that_vanishes_gets_no_work():
    state = state_with(row("a"), row("b"), row("c"))
    state.apply_list([row("a"), row("b")])
    assert ids(state) == {"static", "a", "b"}


def test_a_list_that_suddenly_is_empty_is_not_believed_while_servers_answer():
    state = state_with(row("a"), row("b"))
    state.apply_own_word("a", False, 10.0)
    state.apply_list([])
    state.apply_list([])
    assert ids(state, 12.0) == {"static", "a"}
    assert ids(state, 16.0) == {"static"}
