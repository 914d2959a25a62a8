"""End-to-end requests through a deployment of separate processes."""

import pytest

from hickoryloom.standins import answer_tokens
from tests.site import call, spawn_all, start_site

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = start_site(tmp_path_factory.mktemp("site"))
    yield site
    site.stop()


@pytest.fixture(scope="module")
def key(site):
    key = site.issue_key("studio")
    generation = site.status("entry-1")["generation"]
    assert generation >= 1
    return key


def wait_key(site, key):
    from tests.harness import wait_until

    for entry in ("entry-1", "entry-2"):
        wait_until(lambda entry=entry: site.ask(entry, key).status == 200)


def test_streamed_response_is_complete_on_each_entry(site, key):
    wait_key(site, key)
    for entry in ("entry-1", "entry-2"):
        reply = site.ask(entry, key, max_tokens=12)
        assert reply.status == 200 and reply.complete
        body = {
            "model": "assistant",
            "max_tokens": 12,
            "messages": [{"role": "user", "content": "when is the furnace lit?"}],
        }
        assert reply.text == "".join(answer_tokens(body))
        assert reply.headers["x-request-id"]


def test_response_without_streaming(site, key):
    wait_key(site, key)
    reply = site.ask("entry-1", key, stream=False)
    assert reply.status == 200
    assert reply.json["choices"][0]["message"]["content"]


def test_concurrent_requests_get_their_own_responses(site, key):
    wait_key(site, key)

    def ask(number):
        messages = [{"role": "user", "content": f"question {number}"}]
        reply = site.ask(f"entry-{number % 2 + 1}", key, messages=messages)
        expected = {"model": "assistant", "max_tokens": 16, "messages": messages}
        return reply, "".join(answer_tokens(expected))

    replies = spawn_all(*(lambda number=number: ask(number) for number in range(40)))
    served = [(reply, text) for reply, text in replies if reply.status == 200]
    assert served
    assert all(reply.complete and reply.text == text for reply, text in served)
    refused = [reply for reply, _ in replies if reply.status != 200]
    assert all(reply.json["error"]["verdict"] == "not-run" for reply in refused)
    assert all(int(reply.headers["retry-after"]) >= 1 for reply in refused)


def test_missing_and_unknown_keys_are_refused(site):
    missing = call(site.listen("entry-1"), "POST", "/v1/chat/completions", {})
    unknown = site.ask("entry-1", "hlk_" + "0" * 40)
    assert missing.status == unknown.status == 401
    assert missing.json["error"]["verdict"] == "not-run"


def test_service_lookup_booking_and_open_route(site, key):
    wait_key(site, key)
    auth = {"Authorization": f"Bearer {key}"}
    address = site.listen("entry-1")
    assert call(address, "GET", "/services/booking/schedule", **auth).status == 200
    assert call(address, "GET", "/services/booking/hours").status == 200
    assert call(address, "GET", "/services/booking/schedule").status == 401
    assert call(address, "POST", "/services/booking/deposits", {}, **auth).status == 400
    first = site.deposit("entry-1", key, "k1")
    second = site.deposit("entry-2", key, "k1")
    assert first.status == 200 and second.body == first.body
    assert second.headers["idempotency-replayed"] == "true"


def test_models_of_the_customer_are_listed(site, key):
    wait_key(site, key)
    reply = call(site.listen("entry-2"), "GET", "/v1/models", Authorization=f"Bearer {key}")
    assert [model["id"] for model in reply.json["data"]] == ["assistant"]


def test_status_metrics_and_decisions_are_available(site, key):
    wait_key(site, key)
    reply = site.ask("entry-1", key)
    status = site.status("entry-1")
    assert status["attainment"]["guest"]["met"] >= 1
    assert status["open_requests"] == 0
    admin = site.addresses["entry-1"]["admin"]
    metrics = call(admin, "GET", "/metrics").body.decode()
    assert 'hickoryloom_first_token_seconds_count{class="guest"}' in metrics
    assert key not in metrics
    steps = call(admin, "GET", f"/explain/{reply.headers['x-request-id']}").json["steps"]
    assert [step["step"] for step in steps] == ["admitted", "ended"]
    assert steps[-1]["backend"].startswith("engine-")


def test_no_log_line_contains_a_key(site, key):
    wait_key(site, key)
    for process in site.processes:
        assert key not in process.log()
