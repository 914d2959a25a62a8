"""A published generation is in force everywhere within seconds and never reverts."""

import json
import time

import gevent
import pytest

from hickoryloom.configuration import Publisher, publish_change, read_documents
from tests.harness import Link, Process, wait_until
from tests.site import DOMAINS, Site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(33)]

IN_FORCE_BOUND_S = 2.0
BY_PEERS_BOUND_S = 4.0
OUTAGE_START_BOUND_S = 15.0
ENTRIES = ("entry-1", "entry-2", "entry-3")


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """Three entries, one in each failure domain, each on a link of its own."""
    site = Site(tmp_path_factory.mktemp("configuration"))
    try:
        site.links = [Link(site.platform_address) for _ in DOMAINS]
        site.publish()
        for domain, link in zip(DOMAINS, site.links, strict=True):
            site.add_entry(failure_domain=domain, platform=link.address)
        for name in ENTRIES:
            wait_until(lambda name=name: len(site.status(name)["peers"]) == 2)
    except BaseException:
        site.stop()
        raise
    yield site
    site.stop()


@pytest.fixture
def whole(site):
    """Mend everything after a test."""
    yield site
    site.set_faults("platform", outage="", slow_s=0.0, stale_reads=0.0, lose_answers=0)
    for link in site.links:
        link.restore()
    latest = generation_of(site)
    for name in ENTRIES:
        wait_until(lambda name=name: site.status(name)["generation"] == latest, what=name)


def generation_of(site):
    return site.client.get("config/root").unwrap().value["generation"]


def write_documents(site, name, weight):
    """Write documents that differ from others by the weight of a customer."""
    documents = json.loads(json.dumps(site.documents))
    documents["customers"]["studio"]["weight"] = weight
    directory = site.directory / name
    directory.mkdir(exist_ok=True)
    (directory / "hickoryloom.json").write_text(json.dumps(documents))
    return directory


def publish_weight(site, weight):
    documents = read_documents(write_documents(site, "weights", weight)).unwrap()
    change = publish_change(documents)
    return Publisher(site.client).apply(change, f"weight-{weight}").unwrap()


def in_force_after(site, names, generation, limit_s):
    """Return the seconds until a generation was in force at all of some entries."""
    began = time.monotonic()
    for name in names:
        wait_until(lambda name=name: site.status(name)["generation"] >= generation, limit_s, name)
    return time.monotonic() - began


def run_publish(site, name, directory):
    return Process(
        site.directory, name, ["publish", str(directory), "--platform", site.platform_address]
    )


def test_each_publication_is_in_force_on_every_entry_in_time(whole):
    for weight in (2, 3, 4, 5):
        generation = publish_weight(whole, weight)
        assert in_force_after(whole, ENTRIES, generation, IN_FORCE_BOUND_S) <= IN_FORCE_BOUND_S


def test_a_watch_that_went_silent_is_made_up_for(whole):
    for link in whole.links[:1]:
        link.mute_open_connections()
    generation = publish_weight(whole, 6)
    assert in_force_after(whole, ENTRIES, generation, BY_PEERS_BOUND_S) <= BY_PEERS_BOUND_S


def test_an_entry_cut_off_from_the_platform_follows_by_its_peers_and_never_reverts(whole):
    whole.links[0].cut()
    seen = []

    def watch():
        while True:
            seen.append(whole.status("entry-1")["generation"])
            gevent.sleep(0.02)

    watcher = gevent.spawn(watch)
    generation = publish_weight(whole, 7)
    assert in_force_after(whole, ENTRIES, generation, BY_PEERS_BOUND_S) <= BY_PEERS_BOUND_S
    whole.set_faults("platform", stale_reads=30.0)
    whole.links[0].restore()
    gevent.sleep(1.5)
    whole.set_faults("platform", stale_reads=0.0)
    later = publish_weight(whole, 8)
    in_force_after(whole, ENTRIES, later, 10.0)
    gevent.sleep(0.5)
    watcher.kill()
    assert seen == sorted(seen) and seen[-1] == later


def test_a_new_instance_comes_up_in_an_outage_with_what_its_peers_have(whole):
    key = whole.issue_key("studio")
    generation = generation_of(whole)
    in_force_after(whole, ENTRIES, generation, 10.0)
    whole.set_faults("platform", outage=True)
    seeds = [whole.addresses[name]["peer"] for name in ENTRIES]
    began = time.monotonic()
    name = whole.add_entry(failure_domain=DOMAINS[1], seeds=seeds)
    wait_until(lambda: whole.status(name)["ready"], OUTAGE_START_BOUND_S)
    assert time.monotonic() - began <= OUTAGE_START_BOUND_S
    assert whole.status(name)["generation"] == generation
    # No engine runs here: the key is known, so the answer is a refusal for want of capacity.
    assert whole.ask(name, key).status == 503
    assert whole.ask(name, "hlk_" + "0" * 43).status == 401
    assert whole.entries.pop().terminate() == 0


def test_of_two_racing_operators_one_wins_a_generation_and_none_is_lost(whole):
    before = generation_of(whole)
    # A slow platform, so that all have read the same generation before one writes.
    whole.set_faults("platform", slow_s=0.2)
    folders = [write_documents(whole, f"race-{number}", 10 + number) for number in range(4)]
    runs = [run_publish(whole, f"race-{number}", folder) for number, folder in enumerate(folders)]
    for run in runs:
        wait_until(lambda run=run: run.exit_code is not None, 30.0, run.name)
    whole.set_faults("platform", slow_s=0.0)
    logs = [run.log() for run in runs]
    won = [log for run, log in zip(runs, logs, strict=True) if run.exit_code == 0]
    told = [log for run, log in zip(runs, logs, strict=True) if run.exit_code == 1]
    assert won and len(won) + len(told) == len(runs)
    generations = [int(log.split("generation ")[1].split()[0]) for log in won]
    assert sorted(generations) == list(range(before + 1, before + 1 + len(won)))
    assert all("came in force meanwhile" in log for log in told), told
    root = whole.client.get("config/root").unwrap().value
    made = {change["generation"]: change["publish_id"] for change in root["changes"]}
    assert root["generation"] == before + len(won)
    assert len(set(made.values())) == len(made)


@pytest.mark.parametrize("lost", ["/objects/config/root", "/objects/config/shards"])
def test_a_publication_whose_answer_is_lost_is_made_once_and_told_as_done(whole, lost):
    before = generation_of(whole)
    whole.set_faults("platform", lose_answers=1, lose_prefix=lost)
    folder = write_documents(whole, "lost", 20 + len(lost))
    run = run_publish(whole, f"lost-{len(lost)}", folder)
    wait_until(lambda: run.exit_code is not None, 30.0, run.name)
    assert run.exit_code == 0, run.log()
    assert f"generation {before + 1} is in force" in run.log()
    assert generation_of(whole) == before + 1


def test_a_publication_during_an_outage_is_told_as_not_in_force(whole):
    before = generation_of(whole)
    whole.set_faults("platform", outage=True)
    run = run_publish(whole, "outage", write_documents(whole, "outage", 30))
    wait_until(lambda: run.exit_code is not None, 60.0, run.name)
    whole.set_faults("platform", outage=False)
    assert run.exit_code == 1
    assert "not in force" in run.log() and "Traceback" not in run.log()
    wait_until(lambda: whole.client.get("config/root").is_ok())
    assert generation_of(whole) == before


def test_an_operator_killed_while_publishing_leaves_the_old_generation_or_the_new(whole):
    before = generation_of(whole)
    for number in range(6):
        run = run_publish(whole, f"killed-{number}", write_documents(whole, "killed", 40 + number))
        gevent.sleep(0.25 + 0.05 * number)
        run.kill()
    root = whole.client.get("config/root").unwrap().value
    assert before <= root["generation"] <= before + 6
    for name, reference in root["shards"].items():
        assert whole.client.get(f"config/shards/{name}-{reference}").is_ok()
    later = publish_weight(whole, 50)
    in_force_after(whole, ENTRIES, later, 10.0)


def test_a_platform_that_comes_back_empty_reverts_no_entry(whole):
    publish_weight(whole, 58)
    before = publish_weight(whole, 59)
    in_force_after(whole, ENTRIES, before, 10.0)
    whole.platform.kill()
    whole.run("platform-2", "standin", "platform", "--listen", whole.platform_address)
    assert publish_weight(whole, 60) == 1
    end = time.monotonic() + BY_PEERS_BOUND_S
    while time.monotonic() < end:
        assert all(whole.status(name)["generation"] >= before for name in ENTRIES)
        gevent.sleep(0.1)
    folder = write_documents(whole, "restored", 61)
    run = Process(
        whole.directory,
        "restored",
        ["publish", str(folder), "--after-generation", str(before)]
        + ["--platform", whole.platform_address],
    )
    wait_until(lambda: run.exit_code is not None, 30.0, run.name)
    assert f"generation {before + 1} is in force" in run.log()
    in_force_after(whole, ENTRIES, before + 1, 10.0)
