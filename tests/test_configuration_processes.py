"""A published generation becomes active on all entries within seconds and is never reverted."""

import json
import time

import gevent
import pytest

from hickoryloom.configuration import Publisher, publish_change, read_documents
from tests.harness import Link, Process, wait_until
from tests.site import DOMAINS, Site

pytestmark = [pytest.mark.processes, pytest.mark.seconds(33)]

ACTIVATION_BOUND_S = 2.0
PEER_ACTIVATION_BOUND_S = 4.0
OUTAGE_START_BOUND_S = 15.0
ENTRIES = ("entry-1", "entry-2", "entry-3")


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """Three entries, one in each failure domain, each with its own link to the platform."""
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
def clean_site(site):
    """Clear all faults after a test and wait until the entries have the latest generation."""
    yield site
    site.set_faults("platform", outage="", slow_s=0.0, stale_reads=0.0, lose_answers=0)
    for link in site.links:
        link.restore()
    latest = published_generation(site)
    for name in ENTRIES:
        wait_until(lambda name=name: site.status(name)["generation"] == latest, what=name)


def published_generation(site):
    return site.client.get("config/root").unwrap().value["generation"]


def write_documents(site, name, weight):
    """Write configuration documents with the given weight for the customer `studio`."""
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


def seconds_until_active(site, names, generation, limit_s):
    """Return the seconds until a generation is active on all named entries."""
    started_at = time.monotonic()
    for name in names:
        wait_until(lambda name=name: site.status(name)["generation"] >= generation, limit_s, name)
    return time.monotonic() - started_at


def start_publish(site, name, directory):
    return Process(
        site.directory, name, ["publish", str(directory), "--platform", site.platform_address]
    )


def test_each_publication_becomes_active_on_every_entry_in_time(clean_site):
    for weight in (2, 3, 4, 5):
        generation = publish_weight(clean_site, weight)
        assert (
            seconds_until_active(clean_site, ENTRIES, generation, ACTIVATION_BOUND_S)
            <= ACTIVATION_BOUND_S
        )


def test_silent_watch_is_compensated_by_polling(clean_site):
    for link in clean_site.links[:1]:
        link.stall_open_connections()
    generation = publish_weight(clean_site, 6)
    assert (
        seconds_until_active(clean_site, ENTRIES, generation, PEER_ACTIVATION_BOUND_S)
        <= PEER_ACTIVATION_BOUND_S
    )


def test_entry_without_the_platform_follows_its_peers_and_never_reverts(clean_site):
    clean_site.links[0].disconnect()
    observed = []

    def watch():
        while True:
            observed.append(clean_site.status("entry-1")["generation"])
            gevent.sleep(0.02)

    watcher = gevent.spawn(watch)
    generation = publish_weight(clean_site, 7)
    assert (
        seconds_until_active(clean_site, ENTRIES, generation, PEER_ACTIVATION_BOUND_S)
        <= PEER_ACTIVATION_BOUND_S
    )
    clean_site.set_faults("platform", stale_reads=30.0)
    clean_site.links[0].restore()
    gevent.sleep(1.5)
    clean_site.set_faults("platform", stale_reads=0.0)
    later = publish_weight(clean_site, 8)
    seconds_until_active(clean_site, ENTRIES, later, 10.0)
    gevent.sleep(0.5)
    watcher.kill()
    assert observed == sorted(observed) and observed[-1] == later


def test_new_instance_starts_in_an_outage_with_its_peers_configuration(clean_site):
    key = clean_site.issue_key("studio")
    generation = published_generation(clean_site)
    seconds_until_active(clean_site, ENTRIES, generation, 10.0)
    clean_site.set_faults("platform", outage=True)
    seeds = [clean_site.addresses[name]["peer"] for name in ENTRIES]
    started_at = time.monotonic()
    name = clean_site.add_entry(failure_domain=DOMAINS[1], seeds=seeds)
    wait_until(lambda: clean_site.status(name)["ready"], OUTAGE_START_BOUND_S)
    assert time.monotonic() - started_at <= OUTAGE_START_BOUND_S
    assert clean_site.status(name)["generation"] == generation
    # No engine is running: a known key is refused for lack of capacity, an unknown one with 401.
    assert clean_site.ask(name, key).status == 503
    assert clean_site.ask(name, "hlk_" + "0" * 43).status == 401
    assert clean_site.entries.pop().terminate() == 0


def test_concurrent_publications_each_get_a_generation_or_a_conflict(clean_site):
    before = published_generation(clean_site)
    # Slows the platform so that all publishers read the same generation before the first write.
    clean_site.set_faults("platform", slow_s=0.2)
    directories = [
        write_documents(clean_site, f"race-{number}", 10 + number) for number in range(4)
    ]
    runs = [
        start_publish(clean_site, f"race-{number}", directory)
        for number, directory in enumerate(directories)
    ]
    for run in runs:
        wait_until(lambda run=run: run.exit_code is not None, 30.0, run.name)
    clean_site.set_faults("platform", slow_s=0.0)
    logs = [run.log() for run in runs]
    succeeded = [log for run, log in zip(runs, logs, strict=True) if run.exit_code == 0]
    conflicting = [log for run, log in zip(runs, logs, strict=True) if run.exit_code == 1]
    assert succeeded and len(succeeded) + len(conflicting) == len(runs)
    generations = [int(log.split("generation ")[1].split()[0]) for log in succeeded]
    assert sorted(generations) == list(range(before + 1, before + 1 + len(succeeded)))
    assert all("came in force meanwhile" in log for log in conflicting), conflicting
    root = clean_site.client.get("config/root").unwrap().value
    publish_ids = {change["generation"]: change["publish_id"] for change in root["changes"]}
    assert root["generation"] == before + len(succeeded)
    assert len(set(publish_ids.values())) == len(publish_ids)


@pytest.mark.parametrize("lost", ["/objects/config/root", "/objects/config/shards"])
def test_publication_with_a_lost_answer_is_applied_once_and_reported_as_done(clean_site, lost):
    before = published_generation(clean_site)
    clean_site.set_faults("platform", lose_answers=1, lose_prefix=lost)
    directory = write_documents(clean_site, "lost", 20 + len(lost))
    run = start_publish(clean_site, f"lost-{len(lost)}", directory)
    wait_until(lambda: run.exit_code is not None, 30.0, run.name)
    assert run.exit_code == 0, run.log()
    assert f"generation {before + 1} is in force" in run.log()
    assert published_generation(clean_site) == before + 1


def test_publication_during_an_outage_is_reported_as_not_active(clean_site):
    before = published_generation(clean_site)
    clean_site.set_faults("platform", outage=True)
    run = start_publish(clean_site, "outage", write_documents(clean_site, "outage", 30))
    wait_until(lambda: run.exit_code is not None, 60.0, run.name)
    clean_site.set_faults("platform", outage=False)
    assert run.exit_code == 1
    assert "not in force" in run.log() and "Traceback" not in run.log()
    wait_until(lambda: clean_site.client.get("config/root").is_ok())
    assert published_generation(clean_site) == before


def test_killed_publisher_leaves_the_old_or_the_new_generation(clean_site):
    before = published_generation(clean_site)
    for number in range(6):
        run = start_publish(
            clean_site, f"killed-{number}", write_documents(clean_site, "killed", 40 + number)
        )
        gevent.sleep(0.25 + 0.05 * number)
        run.kill()
    root = clean_site.client.get("config/root").unwrap().value
    assert before <= root["generation"] <= before + 6
    for name, reference in root["shards"].items():
        assert clean_site.client.get(f"config/shards/{name}-{reference}").is_ok()
    later = publish_weight(clean_site, 50)
    seconds_until_active(clean_site, ENTRIES, later, 10.0)


def test_platform_restarted_empty_reverts_no_entry(clean_site):
    publish_weight(clean_site, 58)
    before = publish_weight(clean_site, 59)
    seconds_until_active(clean_site, ENTRIES, before, 10.0)
    clean_site.platform.kill()
    clean_site.run("platform-2", "standin", "platform", "--listen", clean_site.platform_address)
    assert publish_weight(clean_site, 60) == 1
    end = time.monotonic() + PEER_ACTIVATION_BOUND_S
    while time.monotonic() < end:
        assert all(clean_site.status(name)["generation"] >= before for name in ENTRIES)
        gevent.sleep(0.1)
    directory = write_documents(clean_site, "restored", 61)
    run = Process(
        clean_site.directory,
        "restored",
        ["publish", str(directory), "--after-generation", str(before)]
        + ["--platform", clean_site.platform_address],
    )
    wait_until(lambda: run.exit_code is not None, 30.0, run.name)
    assert f"generation {before + 1} is in force" in run.log()
    seconds_until_active(clean_site, ENTRIES, before + 1, 10.0)
