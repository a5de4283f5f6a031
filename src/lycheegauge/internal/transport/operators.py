"""The HTTP API for operators, served on a separate address."""

import typing

from returns import result

from lycheegauge import errors, settings
from lycheegauge.internal.protocol import changes, intents, operations
from lycheegauge.internal.transport import web

STATUS_CODES: dict[type[errors.LycheegaugeError], int] = {
    errors.BorderError: 400,
    errors.IntentRefusedError: 422,
    errors.PlanConflictError: 409,
    errors.RequestIdReusedError: 409,
}
UNAVAILABLE = 503


class OperatorDelegate(typing.Protocol):
    """What the handlers need from the entry host."""

    async def make_plan(
        self, text: str
    ) -> result.Result[intents.Plan, errors.LycheegaugeError]:
        """Plans an intent without changing anything."""

    async def confirm_plan(
        self, body: operations.ConfirmBody
    ) -> result.Result[changes.ConfirmOutcome, errors.LycheegaugeError]:
        """Commits a plan unless its base is no longer current."""

    def replan(self, intent: intents.Intent) -> intents.Plan:
        """Plans an intent on the configuration that this host has applied."""

    async def replace_voter(
        self, body: operations.ReplaceVoterBody
    ) -> result.Result[operations.StatusDocument, errors.LycheegaugeError]:
        """Replaces a voter of the log."""

    async def describe_system(
        self,
    ) -> result.Result[operations.StatusDocument, errors.LycheegaugeError]:
        """Describes the whole system."""

    def explain_request(
        self, request_id: str
    ) -> result.Result[operations.Explanation, errors.LycheegaugeError]:
        """Explains how a request was routed."""

    def export_metrics(self) -> bytes:
        """Returns the metrics of this process."""


class OperatorHandler(web.BodyHandler):
    """Base of the handlers for operators."""

    fresh_plan: intents.Plan | None = None

    def initialize(self, delegate: OperatorDelegate, limits: settings.Limits) -> None:
        """Sets the entry host and the limits."""
        self.delegate = delegate
        self.set_limits(limits)

    def encode_document(self, document: typing.Any, status: int = 200) -> None:
        """Responds with a document as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(operations.encode_document(document) + b"\n")

    def write_problem(self, status: int, detail: str) -> None:
        """Responds to a malformed request with an error document."""
        self.encode_document(make_problem(detail), status)

    def write_outcome(self, outcome: result.Result[typing.Any, typing.Any]) -> None:
        """Responds with the value, or with the error and its status code."""
        if isinstance(outcome, result.Success):
            self.encode_document(outcome.unwrap())
            return
        error = outcome.failure()
        status = STATUS_CODES.get(type(error), UNAVAILABLE)
        self.encode_document(operations.describe_error(error, self.fresh_plan), status)

    async def run_call(self, kind: type, call: typing.Any) -> None:
        """Parses the body as ``kind`` and responds with the outcome of ``call``."""
        if self._finished:
            return
        text = bytes(self.received_body)
        body: result.Result[typing.Any, errors.BorderError] = operations.parse_document(
            kind, text
        )
        if isinstance(body, result.Failure):
            self.write_outcome(body)
            return
        self.write_outcome(await call(body.unwrap()))


def make_problem(detail: str) -> operations.ErrorDocument:
    """Builds the error document for a malformed request."""
    return operations.describe_error(errors.BorderError(detail, "read request"))


class PlanHandler(OperatorHandler):
    """``POST /v1/plan``: what an intent would change."""

    async def post(self) -> None:
        """Responds with the plan for the intent in the body."""
        if self._finished:
            return
        try:
            text = bytes(self.received_body).decode("utf-8")
        except UnicodeDecodeError as error:
            self.write_problem(400, f"the body is not valid UTF-8: {error}")
            return
        self.write_outcome(await self.delegate.make_plan(text))


class ConfirmHandler(OperatorHandler):
    """``POST /v1/confirm``: commits a plan."""

    async def post(self) -> None:
        """Responds with the outcome; a conflict includes a new plan."""
        await self.run_call(operations.ConfirmBody, self.confirm_plan)

    async def confirm_plan(
        self, body: operations.ConfirmBody
    ) -> result.Result[changes.ConfirmOutcome, errors.LycheegaugeError]:
        """Confirms a plan; on a conflict, makes a new plan for the response."""
        outcome = await self.delegate.confirm_plan(body)
        if isinstance(outcome, result.Failure):
            if isinstance(outcome.failure(), errors.PlanConflictError):
                self.fresh_plan = self.delegate.replan(body.plan.intent)
        return outcome


class ReplaceVoterHandler(OperatorHandler):
    """``POST /v1/replace-voter``: replaces a voter of the log."""

    async def post(self) -> None:
        """Responds with the status after the replacement."""
        await self.run_call(operations.ReplaceVoterBody, self.delegate.replace_voter)


class StatusHandler(OperatorHandler):
    """``GET /v1/status``."""

    async def get(self) -> None:
        """Responds with the state of the whole system."""
        self.write_outcome(await self.delegate.describe_system())


class ExplainHandler(OperatorHandler):
    """``GET /v1/explain/REQUEST_ID``."""

    def get(self, request_id: str) -> None:
        """Responds with the steps of a request."""
        self.write_outcome(self.delegate.explain_request(request_id))


class MetricsHandler(OperatorHandler):
    """``GET /metrics``."""

    def get(self) -> None:
        """Responds in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.delegate.export_metrics())


class UnknownPathHandler(OperatorHandler):
    """All other paths."""

    def prepare(self) -> None:
        """Responds with 404."""
        self.write_problem(404, f"unknown path {self.request.path}")


def make_application(
    delegate: OperatorDelegate, limits: settings.Limits
) -> web.Application:
    """Builds the application for operators."""
    arguments = {"delegate": delegate, "limits": limits}
    return web.Application(
        [
            (r"/v1/plan", PlanHandler, arguments),
            (r"/v1/confirm", ConfirmHandler, arguments),
            (r"/v1/replace-voter", ReplaceVoterHandler, arguments),
            (r"/v1/status", StatusHandler, arguments),
            (r"/v1/explain/([A-Za-z0-9._:-]+)", ExplainHandler, arguments),
            (r"/metrics", MetricsHandler, arguments),
            (r".*", UnknownPathHandler, arguments),
        ],
        lambda detail: operations.encode_document(make_problem(detail)),
    )
