"""Stateful tests of the attempts of a request and of resumed streams."""

import json
import random

from hypothesis import stateful
from hypothesis import strategies
import pytest

from redwingchute.core import configuration
from redwingchute.core import outcomes
from redwingchute.request import request_lifecycle
from redwingchute.request import request_state
from redwingchute.request import retry
from redwingchute.request import transcript

_DEADLINE_MS = 10_000
_REFUSAL = outcomes.NotRun(503, "deadline_unreachable", "Too late.", 500)
_POLICY = configuration.RetryPolicy(budget_ratio=0.5, max_attempts=4)
_KINDS_AFTER_SENDING = [
    kind
    for kind in retry.FailureKind
    if kind is not retry.FailureKind.NOT_CONNECTED
]


def _make_event(
    attempt_id: str, token: str, reason: str | None = None, usage: int = 0
) -> bytes:
    """Returns a stream event as an engine sends it."""
    delta = {"content": token} if token else {}
    fields: dict[str, object] = {
        "id": f"chatcmpl-{attempt_id}",
        "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
    }
    if reason:
        fields["usage"] = {
            "prompt_tokens": 7,
            "completion_tokens": usage,
            "total_tokens": 7 + usage,
        }
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


class RequestMachine(stateful.RuleBasedStateMachine):
    """Runs one request with failures, interruptions and refusals."""

    @stateful.initialize(
        is_repeatable=strategies.booleans(),
        token_count=strategies.integers(1, 8),
        seed=strategies.integers(0, 9),
    )
    def start(self, is_repeatable: bool, token_count: int, seed: int) -> None:
        self.expected_words = [
            f"word{number} " for number in range(token_count)
        ]
        self.lifecycle = request_lifecycle.RequestLifecycle(
            request_lifecycle.LifecycleSettings(is_repeatable, _DEADLINE_MS),
            request_state.AttemptIds(1),
            retry.RetryBudget(_POLICY),
            random.Random(seed),
        )
        self.stream = transcript.StreamTranscript(token_count)
        self.delivered = b""
        self.now_ms = 0
        self.sent: request_state.Sent | None = None
        self.refusal: request_state.FinalRefusal | None = None
        self.is_finished = False
        self.begun_attempts = 0
        self.unprocessed = 0

    @stateful.precondition(lambda self: not self._is_open())
    @stateful.rule(token_count=strategies.integers(1, 8))
    def start_another(self, token_count: int) -> None:
        """Checks that an ended request cannot change, then starts another."""
        if self.refusal is not None:
            with pytest.raises(request_state.ConsumedError):
                self.lifecycle.refuse(_REFUSAL)
        self.start(not self.lifecycle.settings.is_repeatable, token_count, 1)

    def _is_open(self) -> bool:
        return self.refusal is None and not self.is_finished

    def _decide(self, kind: retry.FailureKind) -> None:
        decision = self.lifecycle.record_failure(kind, self.now_ms, 100)
        match decision:
            case retry.RetryAfterDelay(delay_ms):
                self.now_ms += delay_ms
                assert self.now_ms <= _DEADLINE_MS
                is_safe = (
                    self.lifecycle.settings.is_repeatable
                    or not self.begun_attempts
                )
                assert is_safe
            case retry.StopRetrying():
                self.refusal = self.lifecycle.refuse(_REFUSAL)

    @stateful.precondition(lambda self: self._is_open() and not self.sent)
    @stateful.rule()
    def fail_to_connect(self) -> None:
        self._decide(retry.FailureKind.NOT_CONNECTED)

    @stateful.precondition(lambda self: self._is_open() and not self.sent)
    @stateful.rule()
    def be_refused_by_the_queue(self) -> None:
        self.refusal = self.lifecycle.refuse(_REFUSAL)

    @stateful.precondition(lambda self: self._is_open() and not self.sent)
    @stateful.rule()
    def begin_sending(self) -> None:
        self.sent = self.lifecycle.begin_sending()
        self.begun_attempts += 1
        self.stream.begin_attempt()
        self.position = len(self.stream.text.split())
        self.first_position = self.position

    @stateful.precondition(lambda self: self._is_open() and self.sent)
    @stateful.rule(cut_at=strategies.integers(0, 60))
    def send_token(self, cut_at: int) -> None:
        """Sends the event of one token, split at an arbitrary byte."""
        if self.position == len(self.expected_words):
            return
        assert self.sent is not None
        token = self.expected_words[self.position]
        event = _make_event(self.sent.attempt_id, token)
        self.position += 1
        self.delivered += self.stream.process_chunk(event[:cut_at])
        self.delivered += self.stream.process_chunk(event[cut_at:])

    @stateful.precondition(lambda self: self._is_open() and self.sent)
    @stateful.rule(
        kind=strategies.sampled_from(_KINDS_AFTER_SENDING),
        part=strategies.integers(0, 30),
    )
    def break_attempt(self, kind: retry.FailureKind, part: int) -> None:
        """Interrupts the stream within an event."""
        self.delivered += self.stream.process_chunk(b"data: {" + b" " * part)
        self.sent = None
        self.unprocessed += retry.is_unprocessed(kind)
        self._decide(kind)

    @stateful.precondition(lambda self: self._is_open() and self.sent)
    @stateful.rule()
    def finish_stream(self) -> None:
        if self.position < len(self.expected_words):
            return
        assert self.sent is not None
        usage = self.position - self.first_position
        end = _make_event(self.sent.attempt_id, "", "stop", usage)
        self.delivered += self.stream.process_chunk(end + b"data: [DONE]\n\n")
        assert self.stream.is_done
        assert self.stream.usage is not None
        assert self.stream.usage.output_tokens == len(self.expected_words)
        self.delivered += self.stream.pop_held()
        self.is_finished = True

    @stateful.invariant()
    def no_token_is_lost_or_doubled(self) -> None:
        payloads = [
            json.loads(line.removeprefix("data: "))
            for line in self.delivered.decode().split("\n\n")
            if line and "[DONE]" not in line
        ]
        text = "".join(
            fields["choices"][0]["delta"].get("content", "")
            for fields in payloads
        )
        expected_text = "".join(self.expected_words)
        assert text == self.stream.text
        assert expected_text.startswith(text)
        assert len({fields["id"] for fields in payloads}) <= 1
        if self.is_finished:
            assert text == expected_text
            usage = payloads[-1]["usage"]
            assert usage["completion_tokens"] == len(self.expected_words)

    @stateful.invariant()
    def refusal_type_matches_what_was_sent(self) -> None:
        match self.refusal:
            case request_state.NotRunRefusal():
                assert self.begun_attempts == 0
            case request_state.SentRefusal(refusal):
                assert self.begun_attempts > 0
                is_failed = isinstance(refusal, outcomes.Failed)
                assert is_failed is self.lifecycle.settings.is_repeatable

    @stateful.invariant()
    def attempts_are_bounded_and_distinct(self) -> None:
        ids = self.lifecycle.attempt_ids
        assert len(ids) == len(set(ids)) == self.begun_attempts
        processed = self.begun_attempts - self.unprocessed
        is_repeatable = self.lifecycle.settings.is_repeatable
        assert processed <= (_POLICY.max_attempts if is_repeatable else 1)
        assert self.unprocessed <= 8


# Collected by pytest.
TestRequestMachine = RequestMachine.TestCase
