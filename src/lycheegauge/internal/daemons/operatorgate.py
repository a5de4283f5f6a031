"""What an entry host does for operators: plans, confirmations, status."""

import asyncio
import collections.abc
import contextlib

from returns import result

from lycheegauge import errors, metrics
from lycheegauge.internal.coordination import followers, planning
from lycheegauge.internal.daemons import explanations, logclient
from lycheegauge.internal.protocol import changes, intentmodels, intents, operations
from lycheegauge.internal.transport import clock

PLAN_REFRESHES = 4
REFRESH_PAUSE_S = 0.5

Refresh = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class OperatorGate:
    """Answers operators from what this entry host follows and from the log.

    Args:
        follower: What this host knows of configuration and members.
        log: Talks to the log's leader.
        refresh: Asks the leader for what is new.
        counted: The metrics to export.
        kept: Why ended requests went where they went.
    """

    def __init__(
        self,
        follower: followers.EntryFollower,
        log: logclient.LogClient,
        refresh: Refresh,
        counted: metrics.Metrics,
        kept: explanations.ExplanationStore,
    ) -> None:
        self._follower = follower
        self._log = log
        self._refresh = refresh
        self._metrics = counted
        self._explanations = kept

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
        """Plans an intent on the newest configuration; nothing changes."""
        intent = intentmodels.parse_intent(text)
        if isinstance(intent, result.Failure):
            return result.Failure(intent.failure())
        if not await self._is_fresh():
            message = "this entry host is cut off from the log; ask another"
            return result.Failure(errors.LogUnavailableError(message, "plan"))
        return result.Success(self.replan(intent.unwrap()))

    async def _is_fresh(self) -> bool:
        """Refreshes, a few times if need be: the leader may just have moved."""
        for _ in range(PLAN_REFRESHES):
            with contextlib.suppress(errors.LycheegaugeError):
                await self._refresh()
            if self._follower.lease.allows_start(clock.read_clock()):
                return True
            await asyncio.sleep(REFRESH_PAUSE_S)
        return False

    def replan(self, intent: intents.Intent) -> intents.Plan:
        """Plans an intent on the configuration that this host applied."""
        return planning.make_plan(
            self._follower.configuration,
            intent,
            self._list_capacities(),
            self._list_availability_zones(),
        )

    async def confirm_plan(
        self, body: operations.ConfirmBody
    ) -> result.Result[changes.ConfirmOutcome, errors.LycheegaugeError]:
        """Commits a plan unless its base is no longer current."""
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
        return self._judge_confirmation(outcome.unwrap())

    def _judge_confirmation(
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
        """Describes the whole system, as the log's leader knows it."""
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
        """Tells why a request went where it went."""
        explanation = self._explanations.find(request_id)
        if explanation is not None:
            return result.Success(explanation)
        message = (
            f"this entry host has not ended a request {request_id!r} among its "
            f"last {explanations.EXPLANATIONS_MAX}; ask the one that served it"
        )
        return result.Failure(errors.BorderError(message, "explain"))

    def export_metrics(self) -> bytes:
        """Returns the metrics of this process."""
        return self._metrics.export()
