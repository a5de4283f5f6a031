"""The agent's HTTP listener, on which its backend server announces itself."""

import collections.abc
import typing

import pydantic
from returns import result

from lycheegauge import settings
from lycheegauge.internal.protocol import announcements, calls, steps
from lycheegauge.internal.transport import web

ANNOUNCE_AGAIN_S = 1.0

Receiver = collections.abc.Callable[[announcements.Announcement], None]


class StepGate(typing.Protocol):
    """What the listener asks of the rank that the backend server may be."""

    def start_step(
        self, question: steps.StepQuestion
    ) -> result.Result[steps.StepAnswer, steps.StepRefusal]:
        """Allows a step or says why not."""

    def finish_load(self, report: steps.LoadedReport) -> steps.LoadedAnswer:
        """Notes that the engine holds a wanted map."""


class AnnouncementHandler(web.BodyHandler):
    """``POST /v1/announcement``."""

    def initialize(self, receive: Receiver, limits: settings.Limits) -> None:
        """Takes the receiver of announcements."""
        self._receive = receive
        self.set_limits(limits)

    def post(self) -> None:
        """Validates an announcement and passes it on."""
        if self._finished:
            return
        announcement = announcements.parse_announcement(bytes(self.collected))
        if isinstance(announcement, result.Failure):
            self.write_problem(400, announcement.failure().message)
            return
        self._receive(announcement.unwrap())
        reply = announcements.AnnouncementReply(announce_again_s=ANNOUNCE_AGAIN_S)
        self.finish(reply.model_dump_json())

    def write_problem(self, status: int, detail: str) -> None:
        """Answers a malformed announcement."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(make_problem(detail))


class UnknownPathHandler(AnnouncementHandler):
    """Any other path."""

    def prepare(self) -> None:
        """Answers that there is no such path."""
        self.write_problem(404, f"there is no path {self.request.path}")


def make_problem(detail: str) -> bytes:
    """Makes the body that tells of a malformed request."""
    problem = announcements.ErrorBody(detail=detail, step="read announcement")
    return problem.model_dump_json().encode()


class RankHandler(web.BodyHandler):
    """Base of what a rank's engine asks."""

    kind: type[calls.Model]

    def initialize(self, gate: StepGate, limits: settings.Limits) -> None:
        """Takes the rank's gate."""
        self.gate = gate
        self.set_limits(limits)

    def post(self) -> None:
        """Validates the question and answers it."""
        if self._finished:
            return
        try:
            question = self.kind.model_validate_json(bytes(self.collected))
        except pydantic.ValidationError as error:
            self.write_problem(400, settings.describe_problems(error, self.kind))
            return
        self.finish(self.answer(question).model_dump_json())

    def answer(self, question: typing.Any) -> calls.Model:
        """Answers a valid question."""
        raise NotImplementedError

    def write_problem(self, status: int, detail: str) -> None:
        """Answers a malformed question."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(make_problem(detail))


class StepHandler(RankHandler):
    """``POST /v1/step``: may this step start, and with which map?"""

    kind = steps.StepQuestion

    def answer(self, question: steps.StepQuestion) -> calls.Model:
        """Answers with the permit, or with 409 and why not."""
        answer = self.gate.start_step(question)
        if isinstance(answer, result.Failure):
            self.set_status(409)
            refusal: steps.StepRefusal = answer.failure()
            return refusal
        allowed: steps.StepAnswer = answer.unwrap()
        return allowed


class LoadedHandler(RankHandler):
    """``POST /v1/loaded``: the engine holds a wanted map."""

    kind = steps.LoadedReport

    def answer(self, question: steps.LoadedReport) -> calls.Model:
        """Answers whether the report was taken."""
        return self.gate.finish_load(question)


def make_application(
    receive: Receiver, gate: StepGate, limits: settings.Limits
) -> web.Application:
    """Makes the application that takes announcements and a rank's questions."""
    given = {"receive": receive, "limits": limits}
    rank = {"gate": gate, "limits": limits}
    return web.Application(
        [
            (r"/v1/announcement", AnnouncementHandler, given),
            (r"/v1/step", StepHandler, rank),
            (r"/v1/loaded", LoadedHandler, rank),
            (r".*", UnknownPathHandler, given),
        ],
        make_problem,
    )
