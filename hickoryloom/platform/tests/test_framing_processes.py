"""Raw bytes of callers and backend servers before a real gateway process."""

import time

import pytest

from hickoryloom.platform.tests.site import HOST, KEY, Site
from hickoryloom.platform.tests.standin import END, Backend, answer, event, stream_head

pytestmark = pytest.mark.processes

MOST_BODY = 100_000


@pytest.fixture
def site(tmp_path):
    made = Site(tmp_path)
    made.configure()
    yield made
    made.stop()


def whole(request):
    yield answer(request)


def head(path="/once/x", version="1.1", **headers):
    lines = [f"POST {path} HTTP/{version}", f"Host: {HOST}", f"X-Api-Key: {KEY}"]
    lines += ["Attempt-Id: a1", "Deadline-Ms: 4000"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def test_a_body_of_just_the_limit_passes_and_a_larger_one_reaches_nobody(site):
    backend = site.add(Backend("i-1", "app", whole))
    gateway = site.start()
    status, _, _ = gateway.call("/once/x", body=b"x" * MOST_BODY)
    assert status == 200
    got = gateway.raw(head(Content_Length=MOST_BODY + 1) + b"x" * (MOST_BODY + 1) + head())
    assert got.startswith(b"HTTP/1.1 413 ") and got.count(b"HTTP/1.1") == 1
    chunk = b"%x\r\n" % (MOST_BODY + 1) + b"x" * (MOST_BODY + 1) + b"\r\n0\r\n\r\n"
    got = gateway.raw(head(Transfer_Encoding="chunked") + chunk + head())
    assert got.startswith(b"HTTP/1.1 413 ") and got.count(b"HTTP/1.1") == 1
    assert len(backend.seen) == 1


def test_a_body_that_is_cut_short_reaches_nobody(site):
    backend = site.add(Backend("i-1", "app", whole))
    gateway = site.start()
    gateway.raw(head(Content_Length=10) + b"five.", timeout_s=0.5)
    gateway.raw(head(Transfer_Encoding="chunked") + b"5\r\nfive.\r\n", timeout_s=0.5)
    time.sleep(0.3)
    assert backend.seen == []


def test_headers_over_the_configured_limits_are_refused(site):
    backend = site.add(Backend("i-1", "app", whole))
    gateway = site.start()
    got = gateway.raw(head(X_Padding="x" * 17_000))
    assert got.startswith(b"HTTP/1.1 431 ")
    began = time.monotonic()
    got = gateway.raw(head()[:-10])
    assert got.startswith(b"HTTP/1.1 408 ") and 2.5 < time.monotonic() - began < 4.5
    assert backend.seen == []


def test_an_answer_that_comes_before_the_body_was_read_harms_no_later_request(site):
    """The backend server answers from the headers alone and reads the body afterwards."""
    backend = site.add(Backend("i-1", "app", whole, early=True))
    gateway = site.start()
    long_body = b"y" * MOST_BODY
    for number in range(4):
        status, _, body = gateway.call("/once/x", id=f"e{number}", body=long_body)
        assert (status, body) == (200, b"early")
        status, _, _ = gateway.call("/once/x", id=f"s{number}", body=b"short")
        assert status == 200
    assert [seen["body"] for seen in backend.seen] == [long_body, b"short"] * 4


def stream_of(count, whole):
    def script(request):
        yield stream_head(request)
        for id in range(1, count + 1):
            yield event(id)
        yield END if whole else Backend.CUT

    return script


def test_an_older_caller_gets_a_whole_stream_with_its_length(site):
    site.add(Backend("i-1", "llm", stream_of(3, True)))
    got = site.start().raw(head("/answer/x", "1.0", Content_Length=0))
    start, _, body = got.partition(b"\r\n\r\n")
    assert b" 200 " in start.splitlines()[0]
    assert b"content-length: %d" % len(body) in start.lower()
    assert body.count(b"id: ") == 3


def test_an_older_caller_is_not_given_a_cut_stream_as_a_whole_one(site):
    site.add(Backend("i-1", "llm", stream_of(3, False)))
    got = site.start().raw(head("/answer/x", "1.0", Content_Length=0))
    assert b" 502 " in got.splitlines()[0]


@pytest.mark.parametrize(
    ("data", "status", "detail"),
    [
        (head(Content_Length="+5") + b"five.", "400", "Content-Length"),
        (head(X_Padding="x" * 17_000), "431", "headers are larger than the limit"),
        (head(Content_Length=MOST_BODY + 1), "413", "body-too-large"),
        (head(Token_Count="1,2", Last_Event_Id="1").replace(b"4000", b"soon"), "400", "deadline"),
    ],
)
def test_a_refusal_of_what_could_not_be_read_is_told_in_one_line_without_the_key(
    site, data, status, detail
):
    gateway = site.start()
    gateway.raw(data, timeout_s=1.0)
    (line,) = gateway.events("request-unreadable")
    assert f"status={status}" in line.replace('"', "") and detail in line
    assert KEY not in gateway.log()
