"""What a request holds of its server's memory, and the work that it still brings."""

import dataclasses
import math

from lycheegauge.internal.protocol import controlcalls, routetables

HINT_FACTOR = 1.5
"""The caller's estimate of the answer's length is accurate at the median only. With
half as much again, about two thirds of the answers are covered."""

PASSES_AHEAD = 2
"""How far ahead the work of a lock-step engine is counted, in passes. In each pass all
ranks wait for the one with the most streams and prompts, so its work in the next passes
counts. With all remaining work counted instead, ranks with many short streams made the
mean pass 64 ms long in place of 57 ms; see the uneven lengths in the tests."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedSize:
    """The tokens that a request is expected to need at its server.

    Attributes:
        prompt_tokens: The prompt, with the part of the answer that another server has
            already written.
        answer_tokens: What is expected to be written.
    """

    prompt_tokens: int
    answer_tokens: int

    @property
    def tokens(self) -> int:
        """All tokens that the request is expected to hold at its end."""
        return self.prompt_tokens + self.answer_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class WorkModel:
    """Estimates the work of requests from what the operator states of an engine.

    Attributes:
        profile: The engine.
        tokens_ahead: The most tokens of an answer that count.
    """

    profile: routetables.EngineProfile
    tokens_ahead: float

    @property
    def event_tokens(self) -> int:
        """The tokens of an event."""
        return max(1, self.profile.steps_per_event)

    def expect_size(self, stated: controlcalls.RequestSize | None) -> ExpectedSize:
        """Estimates the size of a request from the one that its caller states."""
        mean = int(self.profile.mean_answer_tokens)
        if stated is None:
            return ExpectedSize(int(self.profile.mean_prompt_tokens), mean)
        expected = mean or stated.answer_tokens_max
        if stated.answer_tokens_hint is not None:
            expected = int(HINT_FACTOR * stated.answer_tokens_hint)
        answer_tokens = min(stated.answer_tokens_max, expected)
        return ExpectedSize(stated.prompt_tokens, max(0, answer_tokens))

    def estimate_work(self, size: ExpectedSize) -> float:
        """Returns the time that a request adds to its server's steps, in seconds."""
        token_s = self.estimate_token_work(size)
        return self.estimate_reading(size) + token_s * self.limit_tokens(
            size.answer_tokens
        )

    def estimate_usual_work(self) -> float:
        """Returns the work of a request of the usual size, in seconds."""
        return self.estimate_work(self.expect_size(None))

    def estimate_reading(self, size: ExpectedSize) -> float:
        """Returns how long the engine reads the prompt, in seconds."""
        if not self.profile.prompt_tokens_per_s:
            return 0.0
        return size.prompt_tokens / self.profile.prompt_tokens_per_s

    def estimate_token_work(self, size: ExpectedSize) -> float:
        """Returns what the request adds to each step in which it is written."""
        return self.profile.stream_step_s + self.profile.context_s * size.prompt_tokens

    def limit_tokens(self, answer_tokens: int) -> float:
        """Returns how many of the tokens to be written count.

        A stream that is longer than expected has at least one more event.
        """
        return min(self.tokens_ahead, max(self.event_tokens, answer_tokens))


def make_model(declared: routetables.ServiceDeclaration) -> WorkModel | None:
    """Makes the model of a service's engines; ``None`` if they are not described."""
    if declared.engine is None:
        return None
    tokens_ahead = math.inf
    if declared.experts is not None:
        tokens_ahead = PASSES_AHEAD * max(1, declared.engine.steps_per_event)
    return WorkModel(declared.engine, tokens_ahead)


class RequestWork:
    """The tokens and the work of one attempt while it is open.

    Attributes:
        incarnation: The server's incarnation.

    Args:
        incarnation: The server's incarnation.
        size: The expected size of the request.
        model: The model of the server's engine.
    """

    def __init__(self, incarnation: str, size: ExpectedSize, model: WorkModel) -> None:
        self.incarnation = incarnation
        self._size = size
        self._model = model
        self._written = 0
        self._read_s = model.estimate_reading(size)
        self._token_s = model.estimate_token_work(size)

    @property
    def held_tokens(self) -> int:
        """The tokens that it holds at its server or is expected to hold."""
        answer = max(self._size.answer_tokens, self._written)
        return self._size.prompt_tokens + answer

    @property
    def remaining_s(self) -> float:
        """The expected remaining work, in seconds."""
        left = self._model.limit_tokens(self._size.answer_tokens - self._written)
        return self._read_s + left * self._token_s

    def note_events(self, count: int) -> None:
        """Records that whole events of the answer arrived."""
        if count:
            self._read_s = 0.0
            self._written += count * self._model.event_tokens

    def make_rest(self) -> ExpectedSize:
        """Returns the size of the request if another server resumes its answer."""
        return ExpectedSize(
            self._size.prompt_tokens + self._written,
            max(0, self._size.answer_tokens - self._written),
        )
