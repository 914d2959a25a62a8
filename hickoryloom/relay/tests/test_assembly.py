"""The delivered text is always a prefix of the engine's, and equals it once complete."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hickoryloom.relay.assembly import StreamAssembler, StreamFault
from hickoryloom.relay.template import derive_template

DONE = b"data: [DONE]\n\n"
REQUEST_ID = "req-1"

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


def parse_texts(raw):
    parts = raw.split(b"\n\n")
    assert parts[-1] == b""
    events = [part.removeprefix(b"data: ") for part in parts[:-1]]
    parsed = [json.loads(data) for data in events if data != b"[DONE]"]
    found = []
    for fields in parsed:
        choice = fields["choices"][0]
        found.append(choice["text"] if "text" in choice else choice["delta"]["content"])
    return parsed, found


class AssemblerMachine(RuleBasedStateMachine):
    """Feeds the streams of a faulty engine to the assembler and checks what it delivers."""

    @initialize(
        tokens=st.lists(TOKENS, min_size=1, max_size=8),
        chat=st.booleans(),
        ascii=st.booleans(),
        order=ORDERS,
    )
    def start(self, tokens, chat, ascii, order):
        self.tokens = tokens
        self.form = {"chat": chat, "ascii": ascii, "order": order}
        self.assembly = StreamAssembler(REQUEST_ID)
        self.delivered = b""
        self.attempt = 0
        self.begin_attempt_stream()

    def begin_attempt_stream(self):
        self.attempt += 1
        self.id = REQUEST_ID if self.attempt == 1 else f"{REQUEST_ID}~{self.attempt}"
        self.assembly.begin_attempt(self.id)
        self.next_sent = self.assembly.next_position
        self.stream_failed = False

    def event_at(self, position, id=None):
        if position < len(self.tokens):
            return event(id or self.id, position, self.tokens[position], **self.form)
        usage = {"prompt_tokens": 1, "completion_tokens": len(self.tokens)}
        return event(id or self.id, position, "", usage, **self.form)

    def feed(self, raw):
        self.delivered += self.assembly.feed(raw)

    @precondition(lambda self: not self.stream_failed and not self.assembly.complete)
    @rule(count=st.integers(1, 4), split=st.integers(0, 400))
    def send(self, count, split):
        """Send complete events, split at any byte over two reads."""
        raw = b""
        for _ in range(count):
            raw += self.event_at(self.next_sent) if self.next_sent <= len(self.tokens) else DONE
            self.next_sent += 1
        self.feed(raw[:split])
        self.feed(raw[split:])

    @precondition(lambda self: not self.stream_failed and self.next_sent > 0)
    @rule(back=st.integers(1, 3))
    def send_again(self, back):
        """Send events again that were already sent."""
        for position in range(
            max(0, self.next_sent - back), min(self.next_sent, len(self.tokens) + 1)
        ):
            self.feed(self.event_at(position))

    @precondition(lambda self: not self.stream_failed and not self.assembly.complete)
    @rule(position=st.integers(0, 9), known=st.booleans())
    def send_foreign_event(self, position, known):
        """Send an event that carries the id of another request."""
        self.feed(event("req-2", self.next_sent if known else position, "foreign", **self.form))
        assert self.assembly.fault is StreamFault.WRONG_RESPONSE
        self.stream_failed = True

    @precondition(lambda self: not self.stream_failed and self.next_sent < len(self.tokens))
    @rule()
    def skip_event(self):
        """Omit one event."""
        self.feed(self.event_at(self.next_sent + 1))
        assert self.assembly.fault is StreamFault.GAP
        self.stream_failed = True

    @precondition(lambda self: not self.stream_failed and not self.assembly.complete)
    @rule(raw=st.sampled_from([b"data: {\n\n", b"junk\n\n", b"data: 7\n\n", b'data: {"id":1}\n\n']))
    def send_malformed(self, raw):
        self.feed(raw)
        assert self.assembly.fault is not None
        self.stream_failed = True

    @precondition(lambda self: not self.stream_failed and self.next_sent <= len(self.tokens))
    @rule()
    def terminate_early(self):
        """Send the terminator before the last event."""
        self.feed(DONE)
        assert self.assembly.fault is StreamFault.NO_USAGE
        self.stream_failed = True

    @precondition(lambda self: self.assembly.complete)
    @rule(raw=st.sampled_from([DONE, b"junk\n\n", event(REQUEST_ID, 0, "late")]))
    def send_after_end(self, raw):
        """Send data after the terminator."""
        self.feed(raw)

    @precondition(lambda self: not self.assembly.complete)
    @rule(part=st.integers(0, 60))
    def cut_and_resume(self, part):
        """Cut the stream within an event and resume it in another attempt."""
        if not self.stream_failed and self.next_sent <= len(self.tokens):
            self.feed(self.event_at(self.next_sent)[:part])
        self.delivered += self.assembly.finish()
        if not self.assembly.complete:
            assert self.assembly.text == "".join(self.tokens[: self.assembly.next_position])
            self.begin_attempt_stream()

    @invariant()
    def delivered_is_a_prefix(self):
        parsed, found = parse_texts(self.delivered)
        assert found == (self.tokens + [""])[: len(found)]
        assert [fields["position"] for fields in parsed] == list(range(len(parsed)))
        assert {fields["id"] for fields in parsed} <= {REQUEST_ID}

    @invariant()
    def complete_means_all_events_and_one_terminator(self):
        if self.assembly.complete:
            assert parse_texts(self.delivered)[1] == [*self.tokens, ""]
            assert self.delivered.endswith(DONE)
            assert self.delivered.count(DONE) == 1
        else:
            assert DONE not in self.delivered

    def teardown(self):
        """Finish the stream without faults; the delivered text must then be complete."""
        if not hasattr(self, "assembly"):
            return
        if not self.assembly.complete:
            self.begin_attempt_stream()
            while self.next_sent <= len(self.tokens):
                self.feed(self.event_at(self.next_sent))
                self.next_sent += 1
            self.feed(DONE)
        assert self.assembly.complete
        self.complete_means_all_events_and_one_terminator()


TestAssemblerMachine = AssemblerMachine.TestCase
TestAssemblerMachine.settings = settings(max_examples=80, stateful_step_count=25)


@given(
    text=TOKENS,
    other=st.binary(max_size=12),
    order=ORDERS,
    chat=st.booleans(),
    position=st.integers(0, 10**6),
)
def test_a_template_matches_only_events_that_parse_to_the_same(text, other, order, chat, position):
    sample = event(REQUEST_ID, 0, "first", chat=chat, order=order).rstrip()
    template = derive_template(sample, REQUEST_ID)
    if template is None:
        return
    raw = event(REQUEST_ID, position, text, chat=chat, order=order).rstrip()
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
        assert parsed["id"] == REQUEST_ID
        assert parsed["position"] == position


@pytest.mark.parametrize(
    "text", [b'","position":99,"x":"', b'"}}],"id":"req-2","x":[{"y":{"z":"', b"\\", b'"']
)
def test_a_text_that_terminates_its_string_early_matches_no_template(text):
    sample = event(REQUEST_ID, 0, "first", order=["id", "position", "object", "choices"]).rstrip()
    template = derive_template(sample, REQUEST_ID)
    assert template is not None
    assert template.match(sample.replace(b"first", text), 0) is None


def test_most_events_are_not_parsed():
    assembler = StreamAssembler(REQUEST_ID)
    assembler.begin_attempt(REQUEST_ID)
    assembler.feed(event(REQUEST_ID, 0, "a"))
    assert assembler._template is not None
    assert assembler._template.match(event(REQUEST_ID, 7, "b").rstrip(), 7) == b"b"


def test_events_before_an_oversized_one_are_delivered():
    """Guards against events that are lost with an oversized one of the same read."""
    assembler = StreamAssembler(REQUEST_ID)
    assembler.begin_attempt(REQUEST_ID)
    sound = event(REQUEST_ID, 0, "a") + event(REQUEST_ID, 1, "b")
    assert assembler.feed(sound + b"data: " + b"x" * 2_000_000) == sound
    assert (assembler.fault, assembler.next_position) == (StreamFault.TOO_LARGE, 2)


def test_an_unterminated_event_is_rejected_at_the_size_limit():
    assembler = StreamAssembler(REQUEST_ID)
    assembler.begin_attempt(REQUEST_ID)
    while assembler.fault is None:
        assembler.feed(b"x" * 65536)
    assert assembler.fault is StreamFault.TOO_LARGE


@pytest.mark.parametrize(
    "text", ["\\", '"', "\n", "\x00", "ř", "\U0001f525", '","position":99,"x":"']
)
def test_any_text_is_resumed_unchanged(text):
    assembler = StreamAssembler(REQUEST_ID)
    assembler.begin_attempt(REQUEST_ID)
    for position in range(4):
        assembler.feed(event(REQUEST_ID, position, text, ascii=False))
    assert assembler.text == text * 4
