"""The delivered answer is always a prefix of the engine's, and in the end equals it."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hickoryloom.relay.assembly import AnswerAssembly, StreamFault
from hickoryloom.relay.template import learn_template

DONE = b"data: [DONE]\n\n"
OWN = "req-1"

TOKENS = st.text(st.characters(codec="utf-8", exclude_categories=["Cs"]), max_size=6)
ORDERS = st.permutations(["id", "position", "object", "choices"])


def event(id, position, text, usage=None, chat=True, order=None, ascii=True):
    content = {"delta": {"role": "assistant", "content": text}} if chat else {"text": text}
    fields = {
        "id": id,
        "position": position,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, **content}],
    }
    fields = {name: fields[name] for name in order} if order else fields
    if usage:
        fields["usage"] = usage
    return b"data: " + json.dumps(fields, ensure_ascii=ascii).encode() + b"\n\n"


def texts(raw):
    parts = raw.split(b"\n\n")
    assert parts[-1] == b""
    events = [part.removeprefix(b"data: ") for part in parts[:-1]]
    parsed = [json.loads(one) for one in events if one != b"[DONE]"]
    found = []
    for one in parsed:
        choice = one["choices"][0]
        found.append(choice["text"] if "text" in choice else choice["delta"]["content"])
    return parsed, found


class AnswerMachine(RuleBasedStateMachine):
    """An engine with faults on one side, the assembly in the middle, a caller on the other."""

    @initialize(
        tokens=st.lists(TOKENS, min_size=1, max_size=8),
        chat=st.booleans(),
        ascii=st.booleans(),
        order=ORDERS,
    )
    def start(self, tokens, chat, ascii, order):
        self.tokens = tokens
        self.form = {"chat": chat, "ascii": ascii, "order": order}
        self.assembly = AnswerAssembly(OWN)
        self.delivered = b""
        self.attempt = 0
        self.begin()

    def begin(self):
        self.attempt += 1
        self.id = OWN if self.attempt == 1 else f"{OWN}~{self.attempt}"
        self.assembly.begin_attempt(self.id)
        self.at = self.assembly.next_position
        self.broken = False

    def event_at(self, position, id=None):
        if position < len(self.tokens):
            return event(id or self.id, position, self.tokens[position], **self.form)
        usage = {"prompt_tokens": 1, "completion_tokens": len(self.tokens)}
        return event(id or self.id, position, "", usage, **self.form)

    def feed(self, raw):
        self.delivered += self.assembly.feed(raw)

    @precondition(lambda self: not self.broken and not self.assembly.complete)
    @rule(count=st.integers(1, 4), split=st.integers(0, 400))
    def send(self, count, split):
        """Send events whole, or split anywhere over two reads."""
        raw = b""
        for _ in range(count):
            raw += self.event_at(self.at) if self.at <= len(self.tokens) else DONE
            self.at += 1
        self.feed(raw[:split])
        self.feed(raw[split:])

    @precondition(lambda self: not self.broken and self.at > 0)
    @rule(back=st.integers(1, 3))
    def send_again(self, back):
        """Send events that were sent before."""
        for position in range(max(0, self.at - back), min(self.at, len(self.tokens) + 1)):
            self.feed(self.event_at(position))

    @precondition(lambda self: not self.broken and not self.assembly.complete)
    @rule(position=st.integers(0, 9), known=st.booleans())
    def cross(self, position, known):
        """Send an event of another request."""
        self.feed(event("req-2", self.at if known else position, "foreign", **self.form))
        assert self.assembly.fault is StreamFault.CROSSED
        self.broken = True

    @precondition(lambda self: not self.broken and self.at < len(self.tokens))
    @rule()
    def skip(self):
        """Lose an event."""
        self.feed(self.event_at(self.at + 1))
        assert self.assembly.fault is StreamFault.GAP
        self.broken = True

    @precondition(lambda self: not self.broken and not self.assembly.complete)
    @rule(raw=st.sampled_from([b"data: {\n\n", b"junk\n\n", b"data: 7\n\n", b'data: {"id":1}\n\n']))
    def send_nonsense(self, raw):
        self.feed(raw)
        assert self.assembly.fault is not None
        self.broken = True

    @precondition(lambda self: not self.broken and self.at <= len(self.tokens))
    @rule()
    def end_early(self):
        """Send the terminator before the last event."""
        self.feed(DONE)
        assert self.assembly.fault is StreamFault.NO_USAGE
        self.broken = True

    @precondition(lambda self: self.assembly.complete)
    @rule(raw=st.sampled_from([DONE, b"junk\n\n", event(OWN, 0, "late")]))
    def send_late(self, raw):
        """Send anything after the end."""
        self.feed(raw)

    @precondition(lambda self: not self.assembly.complete)
    @rule(part=st.integers(0, 60))
    def cut_and_resume(self, part):
        """Cut within an event and go on with another attempt."""
        if not self.broken and self.at <= len(self.tokens):
            self.feed(self.event_at(self.at)[:part])
        self.delivered += self.assembly.finish()
        if not self.assembly.complete:
            assert self.assembly.text == "".join(self.tokens[: self.assembly.next_position])
            self.begin()

    @invariant()
    def delivered_is_a_prefix(self):
        parsed, found = texts(self.delivered)
        assert found == (self.tokens + [""])[: len(found)]
        assert [one["position"] for one in parsed] == list(range(len(parsed)))
        assert {one["id"] for one in parsed} <= {OWN}

    @invariant()
    def complete_is_whole(self):
        if self.assembly.complete:
            assert texts(self.delivered)[1] == [*self.tokens, ""]
            assert self.delivered.endswith(DONE)
            assert self.delivered.count(DONE) == 1
        else:
            assert DONE not in self.delivered

    def teardown(self):
        """Let a sound engine end the answer: it must come out whole."""
        if not hasattr(self, "assembly"):
            return
        if not self.assembly.complete:
            self.begin()
            while self.at <= len(self.tokens):
                self.feed(self.event_at(self.at))
                self.at += 1
            self.feed(DONE)
        assert self.assembly.complete
        self.complete_is_whole()


TestAnswerMachine = AnswerMachine.TestCase
TestAnswerMachine.settings = settings(max_examples=80, stateful_step_count=25)


@given(
    text=TOKENS,
    other=st.binary(max_size=12),
    order=ORDERS,
    chat=st.booleans(),
    position=st.integers(0, 10**6),
)
def test_a_template_matches_only_events_that_parse_to_the_same(text, other, order, chat, position):
    learned = event(OWN, 0, "first", chat=chat, order=order).rstrip()
    template = learn_template(learned, OWN)
    if template is None:
        return
    raw = event(OWN, position, text, chat=chat, order=order).rstrip()
    forged = raw.replace(json.dumps(text)[1:-1].encode(), other, 1)
    for candidate in (raw, forged, raw[:-3], raw + b"x", raw.replace(b"req-1", b"req-2")):
        found = template.match(candidate, position)
        if found is None:
            continue
        try:
            parsed = json.loads(candidate.removeprefix(b"data:"), strict=False)
        except ValueError:
            assert candidate is forged
            continue
        assert parsed["id"] == OWN
        assert parsed["position"] == position


@pytest.mark.parametrize(
    "text", [b'","position":99,"x":"', b'"}}],"id":"req-2","x":[{"y":{"z":"', b"\\", b'"']
)
def test_a_text_that_ends_its_string_early_matches_no_template(text):
    learned = event(OWN, 0, "first", order=["id", "position", "object", "choices"]).rstrip()
    template = learn_template(learned, OWN)
    assert template is not None
    assert template.match(learned.replace(b"first", text), 0) is None


def test_most_events_are_not_parsed():
    assembly = AnswerAssembly(OWN)
    assembly.begin_attempt(OWN)
    assembly.feed(event(OWN, 0, "a"))
    assert assembly._template is not None
    assert assembly._template.match(event(OWN, 7, "b").rstrip(), 7) == b"b"


def test_an_event_without_end_is_given_up():
    assembly = AnswerAssembly(OWN)
    assembly.begin_attempt(OWN)
    while assembly.fault is None:
        assembly.feed(b"x" * 65536)
    assert assembly.fault is StreamFault.TOO_LARGE


@pytest.mark.parametrize(
    "text", ["\\", '"', "\n", "\x00", "ř", "\U0001f525", '","position":99,"x":"']
)
def test_any_text_is_resumed_as_it_was(text):
    assembly = AnswerAssembly(OWN)
    assembly.begin_attempt(OWN)
    for position in range(4):
        assembly.feed(event(OWN, position, text, ascii=False))
    assert assembly.text == text * 4
