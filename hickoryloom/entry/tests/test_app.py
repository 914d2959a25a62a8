"""An unhandled exception produces an error response of the usual format, with a verdict."""

import falcon.testing

from hickoryloom.entry.app import build_caller_app


class RaisingComponents:
    """Components that raise on any attribute access."""

    def __getattr__(self, name):
        raise RuntimeError("broken")


def test_an_unhandled_exception_gives_500_and_the_verdict_may_have_run():
    client = falcon.testing.TestClient(build_caller_app(RaisingComponents()))
    response = client.simulate_post("/v1/chat/completions", body=b"{}")
    assert response.status_code == 500
    error = response.json["error"]
    assert error["code"] == "internal" and error["verdict"] == "may-have-run"
    assert response.headers["x-verdict"] == "may-have-run" and response.headers["retry-after"]
    assert "broken" not in response.text
