"""A fault of the program is answered with a verdict and in the usual form."""

import falcon.testing

from hickoryloom.entry.app import build_caller_app


class Broken:
    """Slices that fail whenever they are asked for anything."""

    def __getattr__(self, name):
        raise RuntimeError("broken")


def test_a_fault_is_answered_with_500_and_a_verdict_that_promises_nothing():
    client = falcon.testing.TestClient(build_caller_app(Broken()))
    answer = client.simulate_post("/v1/chat/completions", body=b"{}")
    assert answer.status_code == 500
    error = answer.json["error"]
    assert error["code"] == "internal" and error["verdict"] == "may-have-run"
    assert answer.headers["x-verdict"] == "may-have-run" and answer.headers["retry-after"]
    assert "broken" not in answer.text
