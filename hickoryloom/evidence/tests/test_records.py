"""Records of several instances, exchanged in any order."""

import json
import random

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.evidence import InstanceRanking, Record, SharedRecords, Topic
from hickoryloom.evidence.messages import MAX_DATAGRAM_BYTES, DatagramKind, decode, pack
from hickoryloom.evidence.records import MAX_RECORDS_PER_TOPIC

TOPIC = Topic("t", 60.0)

OBSERVATIONS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.sampled_from(["k1", "k2"]),
        st.sampled_from(["0", "1"]),
        st.integers(0, 40),
    ),
    max_size=12,
)


@given(OBSERVATIONS, st.randoms())
def test_all_instances_end_up_with_the_same_records(observations, rng):
    holders = {name: SharedRecords(name, [TOPIC]) for name in "abc"}
    sent = []
    for name, key, value, tenths in sorted(observations, key=lambda item: item[3]):
        holders[name].put(TOPIC, key, value, tenths / 2)
        sent += holders[name].take_changes()
    for holder in holders.values():
        holder.merge(rng.sample(sent, len(sent)), 21.0)
        holder.merge(rng.sample(sent, len(sent)), 21.0)
    assert len({holder.digest(21.0) for holder in holders.values()}) == 1
    ids = [sorted(record.id for record in holder.all(21.0)) for holder in holders.values()]
    assert ids[0] == ids[1] == ids[2]


def test_records_end_after_their_lifetime():
    records = SharedRecords("a", [TOPIC])
    records.put(TOPIC, "k", "v", 100.0)
    assert records.get(TOPIC, "k", 159.0) is not None
    assert records.get(TOPIC, "k", 160.0) is None
    assert records.all(160.0) == []
    records.merge([Record("t", "k", "v", "b.1", 99.0)], 160.0)
    assert records.all(160.0) == []


def test_an_unchanged_observation_is_recorded_once_a_second():
    records = SharedRecords("a", [TOPIC])
    for hundredths in range(300):
        records.put(TOPIC, "k", "v", hundredths / 100)
        records.take_changes()
    assert records.get(TOPIC, "k", 3.0).at == 2.0


def test_an_unchanged_observation_after_a_renewal_is_recorded_at_once():
    records = SharedRecords("a", [TOPIC])
    records.put(TOPIC, "k", "v", 1.0)
    records.renew(TOPIC, "k", 1.05)
    records.put(TOPIC, "k", "v", 1.1)
    assert records.get(TOPIC, "k", 1.2).at == 1.1
    assert [record.at for record in records.take_changes()] == [1.1]


def test_an_observation_between_the_event_and_the_renewal_is_recorded_with_it():
    records = SharedRecords("a", [TOPIC])
    records.put(TOPIC, "k", "v", 1.0)
    records.put(TOPIC, "k", "v", 1.4)
    records.put(TOPIC, "j", "v", 1.0)
    records.put(TOPIC, "j", "v", 1.2)
    records.take_changes()
    records.renew(TOPIC, "k", 1.3)
    records.renew(TOPIC, "j", 1.3)
    assert [(record.key, record.at) for record in records.take_changes()] == [("k", 1.4)]


def test_an_observation_of_others_that_was_not_passed_on_is_so_with_the_renewal():
    records = SharedRecords("a", [TOPIC])
    records.merge([Record("t", "k", "v", "b.1", 1.0)], 1.0)
    records.merge([Record("t", "k", "v", "c.1", 1.4)], 1.4)
    assert [record.id for record in records.take_changes()] == ["b.1"]
    records.renew(TOPIC, "k", 1.2)
    assert [record.id for record in records.take_changes()] == ["c.1"]
    records.renew(TOPIC, "k", 1.2)
    assert records.take_changes() == []


def test_the_same_observation_of_many_instances_is_passed_on_once_a_second():
    records = SharedRecords("a", [TOPIC])
    passed_on = 0
    for tenth in range(30):
        at = 100.0 + tenth / 10
        records.merge([Record("t", "k", "v", f"{chr(98 + tenth % 20)}.1", at)], at)
        passed_on += len(records.take_changes())
    assert passed_on <= 3
    assert records.get(TOPIC, "k", 103.0).at == 102.9


def test_the_number_of_records_is_bounded():
    records = SharedRecords("a", [TOPIC])
    for number in range(10 * MAX_RECORDS_PER_TOPIC):
        records.put(TOPIC, f"k{number}", "v", 1.0)
    assert len(records.all(1.0)) == MAX_RECORDS_PER_TOPIC


def test_records_of_another_topic_or_beyond_bounds_are_dropped():
    records = SharedRecords("a", [TOPIC])
    records.merge(
        [
            Record("other", "k", "v", "b.1", 1.0),
            Record("t", "k" * 1000, "v", "b.2", 1.0),
            Record("t", "k", "v" * 1000, "b.3", 1.0),
        ],
        1.0,
    )
    assert records.all(1.0) == []


def test_records_are_divided_among_datagrams_and_carry_their_age():
    records = [Record("t", f"k{number}", "v" * 50, f"b.{number}", 90.0) for number in range(60)]
    packed = list(pack(DatagramKind.REPLY, "127.0.0.1:1", "d", records, 100.0))
    assert all(len(data) <= MAX_DATAGRAM_BYTES for data in packed)
    datagrams = [decode(data).ok_value for data in packed]
    assert [datagram.kind for datagram in datagrams[:-1]] == [DatagramKind.RECORDS] * (
        len(packed) - 1
    )
    assert datagrams[-1].kind is DatagramKind.REPLY
    assert [item for datagram in datagrams for item in datagram.records] == [
        ("t", f"k{number}", "v" * 50, f"b.{number}", 10.0) for number in range(60)
    ]


@given(
    st.binary(max_size=60)
    | st.builds(
        lambda value: json.dumps(value).encode(),
        st.lists(st.text(max_size=5) | st.floats() | st.none(), max_size=4),
    )
)
def test_no_datagram_raises(data):
    decode(data)


def test_ranks_agree_among_instances_that_know_each_other():
    addresses = [f"10.0.0.{number}:1" for number in range(30)]
    rankings = [InstanceRanking(address) for address in addresses]
    assert rankings[0].rank("key") is None
    for ranking in rankings:
        ranking.set_others(addresses)
    assert sorted(ranking.rank("key") for ranking in rankings) == list(range(30))
    firsts = [
        next(a for a, r in zip(addresses, rankings, strict=True) if r.rank(key) == 0)
        for key in map(str, range(200))
    ]
    assert len(set(firsts)) > 20
    assert random.Random(1).choice(rankings).instances == 30
