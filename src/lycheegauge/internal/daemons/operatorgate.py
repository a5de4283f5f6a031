"""Handles operators' calls on an entry host: plans, confirmations, status."""

import asyncio
import collections.abc
import contextlib

from returns import result

from lycheegauge import errors, metrics
from lycheegauge.internal.coordination import followers, planning
from lycheegauge.internal.daemons import explanations, logclient
from lycheegauge.internal.protocol import changes, intentmodels, intents, operations
from lycheegauge.internal.transport import clock

MAX_PLAN_REFRESHES = 4
REFRESH_RETRY_DELAY_S = 0.5

Refresh = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class OperatorGate:
    """Answers operators from this entry host's view of the system and from the log.

    Args:
        follower: This host's view of the configuration and the members.
        log: The client that calls the log's leader.
        refresh: Pulls updates from the leader.
        process_metrics: The metrics to export.
        explanation_store: The routing explanations of completed requests.
    """

    def __init__(
        self,
        follower: followers.EntryFollower,
        log: logclient.LogClient,
        refresh: Refresh,
        process_metrics: metrics.Metrics,
        explanation_store: explanations.ExplanationStore,
    ) -> None:
        self._follower = follower
        self._log = log
        self._refresh = refresh
        self._metrics = process_metrics
        self._explanations = explanation_store

    def _list_capacities(self) -> list[intents.BackendServerCapacity]:
        return [
            intents.BackendServerCapacity(
                server.name,
                server.availability_zone,
                server.service,
                server.capacity,
                server.group,
            )
            for server in self._follower.members.list_backend_servers()
            if not server.leaving
        ]

    def _list_availability_zones(self) -> set[str]:
        hosts = [*self._follower.members.list_entry_hosts(), self._follower.entry_host]
        return {host.availability_zone for host in hosts}

    async def make_plan(
        self, text: str
    ) -> result.Result[intents.Plan, errors.LycheegaugeError]:
        """Plans an intent against the newest configuration; changes nothing."""
        intent = intentmodels.parse_intent(text)
        if isinstance(intent, result.Failure):
            return result.Failure(intent.failure())
        if not await self._refresh_lease():
            message = "this entry host can't reach the log; use another"
            return result.Failure(errors.LogUnavailableError(message, "plan"))
        return result.Success(self.replan(intent.unwrap()))

    async def _refresh_lease(self) -> bool:
        """Refreshes the lease, with retries in case the leader has just changed."""
        for _ in range(MAX_PLAN_REFRESHES):
            with contextlib.suppress(errors.LycheegaugeError):
                await self._refresh()
            if self._follower.lease.allows_start(clock.read_clock()):
                return True
            await asyncio.sleep(REFRESH_RETRY_DELAY_S)
        return False

    def replan(self, intent: intents.Intent) -> intents.Plan:
        """Plans an intent against the configuration that this host has applied."""
        return planning.make_plan(
            self._follower.configuration,
            intent,
            self._list_capacities(),
            self._list_availability_zones(),
        )

    async def confirm_plan(
        self, body: operations.ConfirmBody
    ) -> result.Result[changes.ConfirmOutcome, errors.LycheegaugeError]:
        """Commits a plan unless its base revision is outdated."""
        plan = body.plan
        confirmation = planning.make_confirmation(
            changes.ConfirmPlan(
                body.request_id, plan.plan_id, plan.base_revision, plan.intent
            ),
            self._follower.configuration,
            self._list_capacities(),
            self._list_availability_zones(),
        )
        if isinstance(confirmation, result.Failure):
            return result.Failure(confirmation.failure())
        outcome = await self._log.propose(confirmation.unwrap())
        if isinstance(outcome, result.Failure):
            return result.Failure(outcome.failure())
        with contextlib.suppress(errors.LycheegaugeError):
            await self._refresh()
        return self._make_confirm_result(outcome.unwrap())

    def _make_confirm_result(
        self, outcome: changes.Outcome
    ) -> result.Result[changes.ConfirmOutcome, errors.LycheegaugeError]:
        assert isinstance(outcome, changes.ConfirmOutcome)
        if outcome.status is changes.ChangeStatus.ACCEPTED:
            return result.Success(outcome)
        kinds: dict[changes.ChangeStatus, type[errors.LycheegaugeError]] = {
            changes.ChangeStatus.CONFLICT: errors.PlanConflictError,
            changes.ChangeStatus.REQUEST_ID_REUSED: errors.RequestIdReusedError,
        }
        kind = kinds.get(outcome.status, errors.IntentRefusedError)
        return result.Failure(kind(outcome.reason, "confirm"))

    async def replace_voter(
        self, body: operations.ReplaceVoterBody
    ) -> result.Result[operations.StatusDocument, errors.LycheegaugeError]:
        """Replaces a voter of the log."""
        replaced = await self._log.replace_voter(body.old_host, body.new_host)
        if isinstance(replaced, result.Failure):
            return result.Failure(replaced.failure())
        return await self.describe_system()

    async def describe_system(
        self,
    ) -> result.Result[operations.StatusDocument, errors.LycheegaugeError]:
        """Returns the status of the whole system as the log's leader knows it."""
        try:
            document = await self._log.describe()
        except errors.LycheegaugeError as error:
            return result.Failure(error)
        described: result.Result[operations.StatusDocument, errors.LycheegaugeError]
        described = operations.parse_document(operations.StatusDocument, document)
        return described

    def explain_request(
        self, request_id: str
    ) -> result.Result[operations.Explanation, errors.LycheegaugeError]:
        """Explains how a completed request was routed."""
        explanation = self._explanations.find(request_id)
        if explanation is not None:
            return result.Success(explanation)
        message = (
            f"request {request_id!r} is not among the last "
            f"{explanations.EXPLANATIONS_MAX} requests that this entry host completed; "
            f"ask the host that served it"
        )
        return result.Failure(errors.BorderError(message, "explain"))

    def export_metrics(self) -> bytes:
        """Returns the metrics of this process."""
        return self._metrics.export()
