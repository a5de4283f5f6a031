"""Runs a repeatable request through agents whose connections break."""

from lycheegauge.internal.coordination import (
    admission,
    agentcore,
    agenteffects,
    attemptmessages,
    attempts,
)
from lycheegauge.internal.protocol import freshness, work

SETTINGS = admission.AdmissionSettings(cold_limit=4, full_limit=4)


def make_messages(attempt, start, total, source):
    """Splits an attempt's answer into chunks of 1 to 3 tokens and an end.

    Tokens name their attempt and position, so that mixing attempts is detected.
    """
    messages, position = [], start
    while position < total:
        stop = min(position + source.randint(1, 3), total)
        piece = tuple(f"{attempt}.{place}" for place in range(position, stop))
        messages.append(work.AnswerChunk("r", attempt, len(messages), position, piece))
        position = stop
    return [*messages, work.AnswerEnd("r", attempt, len(messages), total)]


def disturb(messages, source):
    """Drops, duplicates and reorders messages."""
    kept = [message for message in messages if source.random() > 0.15]
    kept += [message for message in messages if source.random() < 0.3]
    source.shuffle(kept)
    return kept


def feed(assembler, message):
    if isinstance(message, work.AnswerEnd):
        return assembler.add_end(message)
    return assembler.add_chunk(message)


def build_agent(name):
    return agentcore.AgentCore(name, "1", "boot", SETTINGS)


class Stream:
    """Runs one request; attempt ``n`` breaks after ``cuts[n]`` tokens."""

    def __init__(self, count, cuts, stop=None):
        self.tokens = [f"t{number}" for number in range(count)]
        self.cuts, self.stop = list(cuts), stop
        names = ("one", "two", "three", "four")
        self.agents = {name: build_agent(name) for name in names}
        request = work.Request("r", "o", "assistant", b"", "print", 30.0)
        self.core = attempts.RequestCore(request, "host")
        self.passed, self.ended, self.refused, self.cancelled = [], None, None, 0
        self.queue = []

    def run(self):
        self.perform(self.core.start(0.0))
        while self.queue:
            self.queue.pop(0)()

    def handle_event(self, event):
        self.perform(self.core.handle(event, 0.0))

    def perform(self, effects):
        for effect in effects:
            match effect:
                case attemptmessages.ChooseBackendServer(excluded):
                    self.choose(excluded)
                case attemptmessages.SendOrder(server, order):
                    self.send(server.name, order)
                case attemptmessages.CancelOrder(server, request_id, attempt):
                    self.cancel(server.name, request_id, attempt)
                case attemptmessages.ForwardChunk(chunk):
                    self.passed.extend(chunk.tokens)
                case attemptmessages.EndAnswer(tokens):
                    self.ended = tokens
                case attemptmessages.Refuse():
                    self.refused = effect

    def choose(self, excluded):
        name = next(name for name in self.agents if name not in excluded)
        server = freshness.BackendServer(
            name, "", "", "assistant", "1", "boot", 4, "fake"
        )
        self.queue.append(
            lambda: self.handle_event(attemptmessages.BackendServerChosen(server))
        )

    def send(self, name, order):
        effects = self.agents[name].handle_order(order, 0.0, True)
        assert effects == (agenteffects.StartRun(order),)
        rest = self.tokens[order.resume_at :]
        cut = self.cuts.pop(0) if self.cuts else None
        for token in rest[:cut]:
            self.queue.append(lambda token=token: self.output(name, order, token))
        if cut is None:
            self.queue.append(lambda: self.end(name, order))
        else:
            lost = attemptmessages.ConnectionLost(order.attempt, True)
            self.queue.append(lambda: self.handle_event(lost))

    def output(self, name, order, token):
        if self.stop and self.stop[0] == len(self.passed):
            return self.handle_event(self.stop[1])
        chunk = work.AnswerChunk("r", order.attempt, 0, 0, (token,))
        return self.answer(name, self.agents[name].handle_engine_chunk(chunk, 0.0))

    def end(self, name, order):
        ended = self.agents[name].handle_engine_end("r", order.attempt, 0.0)
        self.answer(name, ended)

    def answer(self, name, effects):
        for effect in effects:
            self.handle_event(
                attemptmessages.ReplyReceived(effect.attempt, effect.reply)
            )

    def cancel(self, name, request_id, attempt):
        effects = self.agents[name].cancel(request_id, attempt)
        wanted = agenteffects.CancelRun(request_id, attempt)
        self.cancelled += effects == (wanted,)
