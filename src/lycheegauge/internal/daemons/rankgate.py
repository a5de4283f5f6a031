"""Connects the rank's core of step permits to the agent's listeners.

The engine asks over HTTP before each step, and the answer tells it which weights to
load. Coordinators call over RPC.
"""

import asyncio
import dataclasses

from returns import result

from lycheegauge import errors
from lycheegauge.internal.coordination.groups import rank, refusals
from lycheegauge.internal.protocol import announcements, expertmaps, steps

LOAD_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveLoad:
    """A load in progress and the future that its waiters share."""

    wanted: rank.PendingLoad
    done: "asyncio.Future[expertmaps.MapPrepared | None]"


class RankGate:
    """Owns the rank's core, which exists only while the backend server is a rank.

    Args:
        incarnation: Identifies this start of the agent. The core's incarnation also
            contains the engine's boot id.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._core: rank.RankCore | None = None
        self._boot_id = ""
        self._load: ActiveLoad | None = None

    def handle_announcement(self, announcement: announcements.Announcement) -> None:
        """Creates a new core when a different or restarted engine announces itself."""
        if not announcement.group or announcement.rank < 0:
            self._core = None
            self._finish_active_load(None)
            return
        held = self._core
        known = (held.group, held.rank, self._boot_id) if held else None
        if known == (announcement.group, announcement.rank, announcement.boot_id):
            return
        self._boot_id = announcement.boot_id
        self._core = rank.RankCore(
            announcement.group,
            announcement.rank,
            f"{self._incarnation}/{announcement.boot_id}",
        )
        self._finish_active_load(None)

    # Calls of coordinators.

    async def answer_question(
        self, question: expertmaps.RankQuestion
    ) -> expertmaps.RankState:
        """Returns the rank's state; adopts an epoch that was confirmed by the log."""
        core = self._get_core(question.group)
        if question.confirmed_for == core.incarnation:
            core.learn_epoch(question.epoch)
        return core.answer(question)

    async def handle_offer(self, offer: expertmaps.PermitOffer) -> expertmaps.RankState:
        """Applies an offer of step permits."""
        return self._get_core(offer.group).handle_offer(offer)

    async def prepare(self, prepare: expertmaps.PrepareMap) -> expertmaps.MapPrepared:
        """Waits until the engine has loaded the experts that the map needs.

        Raises:
            errors.LycheegaugeError: The epoch is outdated, or the load did not finish.
        """
        answer = self._get_core(prepare.group).handle_prepare(prepare)
        if isinstance(answer, result.Failure):
            raise answer.failure()
        wanted = answer.unwrap()
        if isinstance(wanted, rank.PendingLoad):
            return await self._wait_for_load(wanted)
        self._finish_active_load(None)
        return wanted

    async def _wait_for_load(self, wanted: rank.PendingLoad) -> expertmaps.MapPrepared:
        if self._load is None or self._load.wanted != wanted:
            self._finish_active_load(None)
            future = asyncio.get_running_loop().create_future()
            self._load = ActiveLoad(wanted, future)
        waiting = asyncio.shield(self._load.done)
        try:
            prepared = await asyncio.wait_for(waiting, LOAD_TIMEOUT_S)
        except TimeoutError:
            prepared = None
        if prepared is None:
            message = f"map version {wanted.version} was replaced or not loaded in time"
            raise refusals.MapNotLoadedError(message, "prepare")
        return prepared

    def _finish_active_load(self, prepared: expertmaps.MapPrepared | None) -> None:
        """Wakes all waiters; ``None`` means that the load was replaced."""
        if self._load is not None:
            self._load.done.set_result(prepared)
            self._load = None

    # Calls of the engine.

    def start_step(
        self, question: steps.StepQuestion
    ) -> result.Result[steps.StepAnswer, steps.StepRefusal]:
        """Allows a step if there is a permit for it, and refuses it otherwise."""
        if self._core is None or question.boot_id != self._boot_id:
            detail = "no engine with this boot id announced a group and a rank"
            return result.Failure(steps.StepRefusal(reason="NoRank", detail=detail))
        answer = self._core.start_step(question.step)
        wanted = self._build_wanted_map()
        if isinstance(answer, result.Success):
            permit = answer.unwrap()
            allowed = steps.StepAnswer(
                step=question.step,
                map_version=permit.map_version,
                epoch=permit.epoch,
                wanted=wanted,
            )
            return result.Success(allowed)
        error = answer.failure()
        refusal = steps.StepRefusal(
            reason=type(error).__name__,
            detail=str(error),
            next_step=find_next_step(self._core.report_state(), question.step),
            wanted=wanted,
        )
        return result.Failure(refusal)

    def _build_wanted_map(self) -> steps.WantedMap | None:
        if self._load is None:
            return None
        wanted = self._load.wanted
        return steps.WantedMap(
            version=wanted.version, epoch=wanted.epoch, experts=wanted.experts
        )

    def finish_load(self, report: steps.LoadedReport) -> steps.LoadedAnswer:
        """Records that the engine has loaded a wanted map."""
        load = self._load
        if self._core is None or load is None or report.boot_id != self._boot_id:
            return steps.LoadedAnswer(taken=False)
        if (report.version, report.epoch) != (load.wanted.version, load.wanted.epoch):
            return steps.LoadedAnswer(taken=False)
        prepared = self._core.finish_load(load.wanted)
        self._finish_active_load(prepared)
        return steps.LoadedAnswer(taken=prepared is not None)

    def _get_core(self, group: str) -> rank.RankCore:
        if self._core is None or self._core.group != group:
            message = f"this backend server is not a rank of group {group!r}"
            raise errors.BorderError(message, "group call")
        return self._core


def find_next_step(state: expertmaps.RankState, step: int) -> int:
    """Finds the first permitted step at or after ``step``; -1 if there is none."""
    first_steps = [
        max(step, permit.first_step)
        for permit in state.permits
        if permit.last_step >= step
    ]
    return min(first_steps, default=-1)
