"""No API key remains in a scrubbed call, whatever its encoding and position."""

import base64
import json
import re
import string
from urllib.parse import quote, unquote

from hypothesis import example, given
from hypothesis import strategies as st

from hickoryloom.configuration import Customer, KeyRecord, Snapshot
from hickoryloom.http import Call
from hickoryloom.keys import authenticate, hash_key, new_key, redact, scrub

MAX_FRAGMENT_CHARS = 18
SNAPSHOT_CUSTOMER = Customer("guest", ("answer",))

key_secrets = st.text(string.digits + string.ascii_letters, min_size=43, max_size=43)
keys = key_secrets.map("hlk_{}".format)
safe_text = st.text(string.ascii_letters + string.digits + " .,:;-", max_size=30)


def percent_encode(text, every=1):
    return "".join(f"%{ord(c):02x}" if i % every == 0 else c for i, c in enumerate(text))


def json_escape(text, every=1):
    return "".join(f"\\u{ord(c):04X}" if i % every == 0 else c for i, c in enumerate(text))


def base64_with_prefix(before):
    return lambda text: base64.b64encode(f"{before}{text}:more".encode()).decode()


def url_base64_with_prefix(before):
    return lambda text: base64.urlsafe_b64encode(f"{before}{text}".encode()).decode().rstrip("=")


ENCODINGS = (
    str,
    percent_encode,
    lambda text: percent_encode(text, 3),
    lambda text: percent_encode(text).upper().replace("%5F", "%5f"),
    lambda text: quote(percent_encode(text)),
    lambda text: quote(quote(percent_encode(text, 2))),
    json_escape,
    lambda text: json_escape(text, 2),
    lambda text: json_escape(text).replace("\\", "\\\\"),
    lambda text: json.dumps(json.dumps(json_escape(text))),
    base64_with_prefix(""),
    base64_with_prefix("u"),
    base64_with_prefix("us"),
    base64_with_prefix("user:"),
    base64_with_prefix("a longer user name than usual:"),
    url_base64_with_prefix("x:"),
    lambda text: "\r\n".join(re.findall(".{1,20}", base64_with_prefix("user:")(text))),
    lambda text: "\\n".join(re.findall(".{1,20}", base64_with_prefix("us")(text))),
)
encodings = st.sampled_from(ENCODINGS)
header_names = st.sampled_from(
    ["x-note", "cookie", "user-agent", "x-api-key", "authorization", "proxy-authorization"]
)
query_names = st.sampled_from(["key", "api_key", "q", "access_token", "Q"])


@st.composite
def encoded_keys(draw, key_strategy):
    """Generates an encoded key with text around it."""
    encode = draw(encodings)
    return draw(safe_text) + " " + encode(draw(key_strategy)) + " " + draw(safe_text)


def one_line(text):
    return text.replace("\r", " ").replace("\n", " ")


@st.composite
def calls(draw):
    """Generates a call that presents its own key and contains that key and another one anywhere."""
    own, other = draw(keys), draw(keys)
    some_key = encoded_keys(st.sampled_from([own, other]))
    headers = [("Authorization".lower(), f"Bearer {own}")]
    for name in draw(st.lists(header_names, max_size=4)):
        if name not in ("x-api-key", "authorization"):
            headers.append((name, one_line(draw(some_key))))
    if draw(st.booleans()):
        cut = draw(st.integers(1, len(own) - 1))
        headers += [("x-split", own[:cut]), ("x-split", own[cut:])]
    fields = [f"{name}={draw(some_key)}" for name in draw(st.lists(query_names, max_size=3))]
    if draw(st.booleans()):
        cut = draw(st.integers(1, len(other) - 1))
        fields += [f"part={other[:cut]}", "n=1", f"part={other[cut:]}"]
    if draw(st.booleans()):
        cut = draw(st.integers(1, len(own) - 1))
        headers += [("x-first", own[:cut]), ("x-second", own[cut:])]
    cut = draw(st.integers(1, len(own) - 1))
    halves = {"a": own[:cut], "b": [own[cut:]]} if draw(st.booleans()) else {}
    path = draw(
        st.sampled_from(["/services/a/b", f"/services/{own}/b", f"/x/{percent_encode(other)}"])
    )
    body = json.dumps(
        {"messages": draw(st.lists(some_key, max_size=3)), **halves}, ensure_ascii=True
    )
    raw = draw(st.lists(some_key, max_size=2))
    return own, other, Call("POST", path, "&".join(fields), tuple(headers), f"{body}{raw}".encode())


def decodings(text, depth=3):
    """Yields a text and all decodings of it, repeated up to `depth` times."""
    yield text
    if not depth:
        return
    decoded = {
        unquote(text),
        re.sub(r"\\+u00([0-9a-fA-F]{2})", lambda m: chr(int(m.group(1), 16)), text),
        re.sub(r"[\r\n\t ]|\\[rnt]", "", text),
    }
    for view in decoded - {text}:
        yield from decodings(view, depth - 1)
    for run in re.findall(r"[A-Za-z0-9+/_-]{20,}", text):
        for offset in range(4):
            part = run[offset:].replace("-", "+").replace("_", "/")
            part = part[: len(part) // 4 * 4]
            yield base64.b64decode(part).decode("latin-1")


def longest_fragment(text, key):
    best = 0
    for start in range(len(key)):
        while start + best < len(key) and key[start : start + best + 1] in text:
            best += 1
    return best


def leaked_chars(call, key):
    """Return the length of the longest fragment of a key that can be read anywhere in a call."""
    texts = [call.path, call.query, call.body.decode("latin-1")]
    texts += [f"{name}: {value}" for name, value in call.headers]
    texts += ["".join(value for _, value in call.headers)]
    return max(longest_fragment(view, key) for text in texts for view in decodings(text))


def snapshot_with(key):
    record = KeyRecord(hash_key(key), "guest", "a key")
    return Snapshot(1, customers={"guest": SNAPSHOT_CUSTOMER}, keys={record.hash: record})


@given(calls())
def test_no_key_is_left_in_a_scrubbed_call(generated):
    own, other, call = generated
    identity = authenticate(call, snapshot_with(own)).unwrap()
    clean = scrub(call, identity)
    assert leaked_chars(clean, own) <= MAX_FRAGMENT_CHARS
    assert leaked_chars(clean, other) <= MAX_FRAGMENT_CHARS
    assert len(clean.body) == len(call.body)
    assert not {"authorization", "x-api-key"} & {name for name, _ in clean.headers}


@given(safe_text, safe_text)
@example("hlk_", "is the prefix of keys, and hlk_short is none")
def test_a_call_without_keys_is_unchanged(header, text):
    body = json.dumps({"prompt": text, "note": "čaj \\u00e1 %20 aGxr"}).encode()
    headers = (("x-note", header), ("content-type", "application/json"))
    call = Call("POST", "/v1/chat/completions", f"a={quote(text)}", headers, body)
    key = new_key()
    identity = authenticate(
        Call("GET", "/", "", (("x-api-key", key),), b""), snapshot_with(key)
    ).unwrap()
    assert scrub(call, identity) == call


@given(encoded_keys(keys))
def test_redact_leaves_no_key_in_a_log_line(text):
    key = re.search("hlk_[0-9A-Za-z]{43}", text)
    clean = redact(text)
    if key:
        assert key.group() not in clean
    assert len(clean) == len(text)


def test_a_key_in_utf_16_is_overwritten():
    key = new_key()
    for encoding in ("utf-16-le", "utf-16-be", "utf-32-le"):
        call = Call("POST", "/", "", (("x-api-key", key),), f'"{key}"'.encode(encoding))
        identity = authenticate(call, snapshot_with(key)).unwrap()
        assert key not in scrub(call, identity).body.decode(encoding, "replace")
