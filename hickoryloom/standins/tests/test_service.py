"""The service stand-in counts the calls that it ran, separately from those it only received."""

import pytest

from hickoryloom.http import JsonClient
from hickoryloom.standins import build_service


@pytest.fixture
def service():
    service = build_service(credential="secret")
    service.start()
    yield service
    service.stop()


def call(service, path="/bookings", key="k1", request_id="r1", credential="secret"):
    headers = {
        "Idempotency-Key": key,
        "X-Request-Id": request_id,
        "Authorization": f"Bearer {credential}",
    }
    client = JsonClient(service.address)
    try:
        return client.call("POST", path, {"bench": 1}, headers=headers)
    finally:
        client.close()


def runs(service):
    return JsonClient(service.address).call("GET", "/standin/runs").unwrap().body


def set_faults(service, **switches):
    JsonClient(service.address).call("POST", "/standin/faults", switches).unwrap()


def test_repeated_idempotency_key_is_counted_as_another_run(service):
    assert call(service).unwrap().body["run"] == 1
    assert call(service, request_id="r2").unwrap().body["run"] == 2
    counts = runs(service)
    assert counts["total"] == 2
    assert counts["by_key"] == {"k1": 2}
    assert counts["by_request"] == {"r1": 1, "r2": 1}
    assert counts["by_call"] == {"POST /bookings": 2}


@pytest.mark.parametrize(
    ("switch", "ran"), [("not_run_next", 0), ("cut_next", 0), ("lose_next", 1), ("error_next", 1)]
)
def test_faults_before_and_after_the_run(service, switch, ran):
    set_faults(service, **{switch: 1})
    response = call(service)
    assert response.is_err() or response.unwrap().status >= 500
    assert runs(service)["total"] == ran
    assert call(service).unwrap().status == 200


def test_call_with_a_wrong_credential_is_rejected_without_a_run(service):
    assert call(service, credential="other").unwrap().status == 401
    assert runs(service)["total"] == 0


def test_received_requests_are_recorded(service):
    call(service)
    seen = runs(service)["seen"][0]
    assert seen["path"] == "/bookings" and '"bench": 1' in seen["body"]
