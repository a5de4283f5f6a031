"""The agent's HTTP API for its backend server: announcements and step requests."""

import collections.abc
import typing

import pydantic
from returns import result

from lycheegauge import settings
from lycheegauge.internal.protocol import announcements, calls, steps
from lycheegauge.internal.transport import web

ANNOUNCE_INTERVAL_S = 1.0

Receiver = collections.abc.Callable[[announcements.Announcement], None]


class RankDelegate(typing.Protocol):
    """What the handlers need from the agent if its backend server is a rank."""

    def start_step(
        self, question: steps.StepQuestion
    ) -> result.Result[steps.StepAnswer, steps.StepRefusal]:
        """Permits a step, or refuses it with a reason."""

    def finish_load(self, report: steps.LoadedReport) -> steps.LoadedAnswer:
        """Records that the engine has loaded a requested expert map."""


class AnnouncementHandler(web.BodyHandler):
    """``POST /v1/announcement``."""

    def initialize(self, receive: Receiver, limits: settings.Limits) -> None:
        """Sets the function that receives announcements, and the limits."""
        self._receive = receive
        self.set_limits(limits)

    def post(self) -> None:
        """Validates an announcement and passes it to the receiver."""
        if self._finished:
            return
        announcement = announcements.parse_announcement(bytes(self.received_body))
        if isinstance(announcement, result.Failure):
            self.write_problem(400, announcement.failure().message)
            return
        self._receive(announcement.unwrap())
        reply = announcements.AnnouncementReply(announce_again_s=ANNOUNCE_INTERVAL_S)
        self.finish(reply.model_dump_json())

    def write_problem(self, status: int, detail: str) -> None:
        """Responds to a malformed announcement with an error."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(make_problem(detail))


class UnknownPathHandler(AnnouncementHandler):
    """All other paths."""

    def prepare(self) -> None:
        """Responds with 404."""
        self.write_problem(404, f"unknown path {self.request.path}")


def make_problem(detail: str) -> bytes:
    """Builds the response body for a malformed request."""
    problem = announcements.ErrorBody(detail=detail, step="read announcement")
    return problem.model_dump_json().encode()


class RankHandler(web.BodyHandler):
    """Base of the handlers for requests of a rank's engine."""

    request_model: type[calls.Model]

    def initialize(self, delegate: RankDelegate, limits: settings.Limits) -> None:
        """Sets the rank's agent and the limits."""
        self.delegate = delegate
        self.set_limits(limits)

    def post(self) -> None:
        """Validates the request and responds to it."""
        if self._finished:
            return
        try:
            question = self.request_model.model_validate_json(bytes(self.received_body))
        except pydantic.ValidationError as error:
            self.write_problem(
                400, settings.describe_problems(error, self.request_model)
            )
            return
        self.finish(self.answer(question).model_dump_json())

    def answer(self, question: typing.Any) -> calls.Model:
        """Returns the response to a valid request."""
        raise NotImplementedError

    def write_problem(self, status: int, detail: str) -> None:
        """Responds to a malformed request with an error."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(make_problem(detail))


class StepHandler(RankHandler):
    """``POST /v1/step``: whether a step may start, and with which expert map."""

    request_model = steps.StepQuestion

    def answer(self, question: steps.StepQuestion) -> calls.Model:
        """Returns the permission, or a refusal with its reason and status 409."""
        answer = self.delegate.start_step(question)
        if isinstance(answer, result.Failure):
            self.set_status(409)
            refusal: steps.StepRefusal = answer.failure()
            return refusal
        allowed: steps.StepAnswer = answer.unwrap()
        return allowed


class LoadedHandler(RankHandler):
    """``POST /v1/loaded``: the engine has loaded a requested expert map."""

    request_model = steps.LoadedReport

    def answer(self, question: steps.LoadedReport) -> calls.Model:
        """Returns whether the report was accepted."""
        return self.delegate.finish_load(question)


def make_application(
    receive: Receiver, delegate: RankDelegate, limits: settings.Limits
) -> web.Application:
    """Builds the application for announcements and the requests of a rank."""
    arguments = {"receive": receive, "limits": limits}
    rank_arguments = {"delegate": delegate, "limits": limits}
    return web.Application(
        [
            (r"/v1/announcement", AnnouncementHandler, arguments),
            (r"/v1/step", StepHandler, rank_arguments),
            (r"/v1/loaded", LoadedHandler, rank_arguments),
            (r".*", UnknownPathHandler, arguments),
        ],
        make_problem,
    )
