"""Reassembles an answer from chunks that may be lost, repeated or reordered."""

import collections.abc
import dataclasses

from lycheegauge import errors
from lycheegauge.internal.protocol import codec, work

MAX_BUFFERED_CHUNKS = 1_024


class AnswerAssembler:
    """Reassembles the chunks of a request's attempts into one answer.

    Chunks of superseded attempts and duplicate chunks are dropped. Chunks that
    arrive out of order are buffered until the preceding ones have arrived. The
    answer is complete only when the current attempt's end message has arrived
    and its chunk and token counts match exactly what was forwarded. A body has
    no token positions to resume from, so bodies are forwarded only once the
    answer is complete.

    Attributes:
        attempt: The current attempt; chunks of others are dropped.
        next_token: The index of the first token not yet received.
        broken: Whether the current attempt is inconsistent or skipped tokens,
            so that only another attempt can complete the answer.
    """

    def __init__(self) -> None:
        self.attempt = 0
        self.next_token = 0
        self.broken = False
        self._forwarded_chunks = 0
        self._next_sequence = 0
        self._bodies: list[work.AnswerChunk] = []
        self._buffered_chunks: dict[int, work.AnswerChunk] = {}
        self._end: work.AnswerEnd | None = None

    @property
    def is_complete(self) -> bool:
        """Whether every part of the answer has been forwarded."""
        return (
            self._end is not None
            and not self.broken
            and self._end.chunks == self._next_sequence
            and self._end.tokens == self.next_token
        )

    def begin_attempt(self, attempt: int) -> int:
        """Supersedes all earlier attempts and returns the token to resume at."""
        self.attempt = attempt
        self.broken = False
        self._next_sequence = 0
        self._buffered_chunks = {}
        self._bodies = []
        self._end = None
        return self.next_token

    def add_chunk(self, chunk: work.AnswerChunk) -> tuple[work.AnswerChunk, ...]:
        """Adds a chunk and returns the chunks that can be forwarded, in order.

        Returned chunks are renumbered, so that the caller sees one sequence
        across all attempts.
        """
        if chunk.attempt != self.attempt or self.broken or self.is_complete:
            return ()
        if self._is_in_order(chunk):
            self._next_sequence += 1
            self._forwarded_chunks += 1
            self.next_token += len(chunk.tokens)
            return (chunk,)
        if (
            chunk.sequence < self._next_sequence
            or chunk.sequence in self._buffered_chunks
        ):
            return ()
        if len(self._buffered_chunks) >= MAX_BUFFERED_CHUNKS:
            self.broken = True
            return ()
        self._buffered_chunks[chunk.sequence] = chunk
        return (*self._release_buffered(), *self._finish())

    def add_end(self, end: work.AnswerEnd) -> tuple[work.AnswerChunk, ...]:
        """Adds the end message of an attempt; earlier chunks may still be missing.

        Returns:
            The bodies that can be forwarded now.
        """
        if end.attempt != self.attempt or self.is_complete:
            return ()
        self._end = end
        return self._finish()

    def _is_in_order(self, chunk: work.AnswerChunk) -> bool:
        # Fast path: nearly every chunk of a stream arrives in order and unchanged.
        in_order = chunk.sequence == self._next_sequence == self._forwarded_chunks
        fits = chunk.first_token == self.next_token
        return in_order and fits and bool(chunk.tokens) and self._end is None

    def _release_buffered(self) -> collections.abc.Iterator[work.AnswerChunk]:
        while self._next_sequence in self._buffered_chunks and not self.broken:
            chunk = self._buffered_chunks.pop(self._next_sequence)
            self._next_sequence += 1
            trimmed = self._trim_received_tokens(chunk)
            if trimmed is None:
                continue
            if not trimmed.tokens:
                self._bodies.append(trimmed)
            else:
                yield trimmed

    def _finish(self) -> tuple[work.AnswerChunk, ...]:
        if self._end is None or self._end.chunks > self._next_sequence:
            return ()
        if not self.is_complete:
            self.broken = True
            return ()
        bodies, self._bodies = self._bodies, []
        return tuple(bodies)

    def _trim_received_tokens(self, chunk: work.AnswerChunk) -> work.AnswerChunk | None:
        if chunk.tokens and chunk.first_token > self.next_token:
            self.broken = True
            return None
        tokens = chunk.tokens[self.next_token - chunk.first_token :]
        if chunk.tokens and not tokens:
            return None
        first_token = self.next_token
        self.next_token += len(tokens)
        self._forwarded_chunks += 1
        return dataclasses.replace(
            chunk,
            sequence=self._forwarded_chunks - 1,
            first_token=first_token,
            tokens=tokens,
        )


class AnswerCollector:
    """Collects one attempt's answer, which is forwarded only when complete."""

    def __init__(self) -> None:
        self._assembler = AnswerAssembler()
        self._chunks: list[work.AnswerChunk] = []

    @property
    def is_complete(self) -> bool:
        """Whether the complete answer has arrived."""
        return self._assembler.is_complete

    @property
    def broken(self) -> bool:
        """Whether the current attempt can no longer complete the answer."""
        return self._assembler.broken

    def begin_attempt(self, attempt: int) -> None:
        """Discards the chunks of earlier attempts."""
        self._assembler = AnswerAssembler()
        self._assembler.begin_attempt(attempt)
        self._chunks = []

    def add_reply(self, reply: work.AgentReply) -> None:
        """Adds the chunk and the end message that an agent's reply contains."""
        if reply.chunk is not None:
            self._chunks.extend(self._assembler.add_chunk(reply.chunk))
        if reply.end is not None:
            self._chunks.extend(self._assembler.add_end(reply.end))

    def join(self) -> bytes:
        """Returns the complete answer in its stored encoding."""
        return join_chunks(self._chunks)


def join_chunks(chunks: collections.abc.Sequence[work.AnswerChunk]) -> bytes:
    """Encodes the chunks of a complete answer as one chunk for storage."""
    last = chunks[-1] if chunks else work.AnswerChunk("", 0, 0)
    joined = dataclasses.replace(
        last,
        sequence=0,
        first_token=0,
        tokens=tuple(token for chunk in chunks for token in chunk.tokens),
        body=b"".join(chunk.body for chunk in chunks),
    )
    return codec.pack(joined)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A stored answer as the single chunk and end message sent to a resend."""

    chunk: work.AnswerChunk
    end: work.AnswerEnd


def decode_stored_answer(
    answer: bytes, request_id: str, attempt: int
) -> StoredAnswer | None:
    """Decodes a stored answer for a resent request.

    Returns:
        ``None`` if the answer was too large to store or cannot be decoded.
    """
    if not answer:
        return None
    try:
        stored = codec.unpack(answer)
    except errors.BorderError:
        return None
    chunk = dataclasses.replace(stored, request_id=request_id, attempt=attempt)
    end = work.AnswerEnd(request_id, attempt, chunks=1, tokens=len(chunk.tokens))
    return StoredAnswer(chunk, end)
