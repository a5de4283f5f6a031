"""Grants step permits to all ranks of a group and switches its expert map.

The following sequence ensures that all ranks run a step with the same map:

1. Take a higher epoch from the log, then read the group's record.
2. Query all ranks. Each answer fences every older coordinator at that rank.
3. Grant permits that follow the schedule (version and first step) in the log.
4. To switch: all ranks load the next map; all ranks acknowledge permits that have
   been cut to end at one step; the log stores the map with a first step after every
   step that any rank may have started; only then do permits name the new map.

Ranks run in lock-step, so a rank whose engine failed may have started one step more
than the surviving ranks report; hence ``LOST_RANK_STEPS``. When no rank can report
its progress, the steps of a new epoch begin at ``epoch * STEPS_PER_EPOCH``, a number
that no earlier permit can have reached.
"""

import dataclasses
import enum

from returns import result

from lycheegauge import errors
from lycheegauge.internal.coordination.groups import effects, schedule, views
from lycheegauge.internal.protocol import changes, codec, expertmaps, groups

LOST_RANK_STEPS = 1
STEPS_PER_EPOCH = 2**32
RESEND_INTERVAL_S = 1.0
REFRESH_INTERVAL_S = 10.0


class Phase(enum.StrEnum):
    """The phases of a coordinator."""

    IDLE = "idle"
    TAKING_EPOCH = "taking_epoch"
    ASKING = "asking"
    GRANTING = "granting"
    PREPARING = "preparing"
    CUTTING = "cutting"
    COMMITTING = "committing"
    DEPOSED = "deposed"


@dataclasses.dataclass(frozen=True, slots=True)
class PermitSettings:
    """How far ahead permits reach.

    Attributes:
        horizon_steps: Steps that are permitted ahead in steady state. After the
            loss of its coordinator, the group stalls when it has used them up.
        cut_steps: Steps that are still permitted when a switch cuts the permits;
            they cover the time that the acknowledgements and the log's commit take.
    """

    horizon_steps: int = 20_000
    cut_steps: int = 100


DEFAULT_SETTINGS = PermitSettings()


class SwitchRefusedError(errors.LycheegaugeError):
    """The switch to a map cannot begin now; the message gives the reason."""


class Coordinator:
    """Coordinates one group; a task performs its effects and passes it events.

    Args:
        group: The group's name.
        ranks: How many ranks it has.
        holder: The name of this process, as the log stores it.
        settings: How far ahead permits reach.
    """

    def __init__(
        self,
        group: str,
        ranks: int,
        holder: str,
        settings: PermitSettings = PermitSettings(),
    ) -> None:
        self._settings = settings
        self.group = group
        self.holder = holder
        self.phase = Phase.IDLE
        self.epoch = 0
        self._views = views.RankViews(ranks)
        self._schedule = schedule.Schedule(())
        self._sequence = 0
        self._request_id = ""
        self._restarts = 0
        self._next_map: expertmaps.ExpertMap | None = None
        self._cut_sequence = 0
        self._first_step = 0
        self._base_step = 0
        self._last_granted_step = 0
        self._sent_at = float("-inf")

    @property
    def current_map(self) -> expertmaps.ExpertMap | None:
        """The newest committed map."""
        return self._schedule.newest

    def start(self, request_id: str, now: float) -> tuple[effects.Effect, ...]:
        """Requests a higher epoch; ``request_id`` must be unique to this start."""
        self.phase = Phase.TAKING_EPOCH
        self._request_id = request_id
        return self._build_effects(now)

    def handle_epoch_outcome(
        self, outcome: changes.EpochOutcome, record: groups.GroupRecord, now: float
    ) -> tuple[effects.Effect, ...]:
        """Handles the log's answer to ``TakeEpoch``.

        Args:
            outcome: The log's answer.
            record: The group's record, read after the change was applied.
            now: Seconds.
        """
        accepted = outcome.status is changes.ChangeStatus.ACCEPTED
        expected = accepted and outcome.epoch > self.epoch
        if self.phase is not Phase.TAKING_EPOCH or not expected:
            return ()
        if record.epoch > outcome.epoch:
            return self._step_down(record.epoch)
        self.epoch = outcome.epoch
        self._views = views.RankViews(len(self._views.states))
        self._schedule = schedule.read_schedule(record)
        self._sequence = 0
        self._base_step = 0
        self._last_granted_step = 0
        self._next_map = None
        self.phase = Phase.ASKING
        return self._build_effects(now)

    def propose_map(
        self, expert_map: expertmaps.ExpertMap, now: float
    ) -> result.Result[tuple[effects.Effect, ...], SwitchRefusedError]:
        """Begins the switch to the next map version.

        A switch in progress is never replaced within an epoch: a delayed request to
        prepare its map could then overwrite the other map at a rank.
        """
        current = self.current_map
        version = current.version + 1 if current else 1
        if self.phase is not Phase.GRANTING:
            message = f"the coordinator is {self.phase}; retry when it is granting"
            return result.Failure(SwitchRefusedError(message, "propose map"))
        if expert_map.version != version or expert_map.group != self.group:
            message = f"expected version {version} of group {self.group}"
            return result.Failure(SwitchRefusedError(message, "propose map"))
        if self._find_oldest_step() < self._schedule.newest_first_step:
            # The log keeps two maps: a third would evict one that ranks still need.
            message = f"not all ranks run map version {version - 1} yet; retry later"
            return result.Failure(SwitchRefusedError(message, "propose map"))
        self._next_map = expert_map
        self.phase = Phase.PREPARING
        return result.Success(self._build_effects(now))

    def handle_rank_state(
        self, state: expertmaps.RankState, now: float
    ) -> tuple[effects.Effect, ...]:
        """Handles a rank's answer to a question or an offer."""
        if self._is_inactive() or self.phase is Phase.TAKING_EPOCH:
            return ()
        if state.epoch > self.epoch:
            return self._step_down(state.epoch)
        if not state.accepted or state.epoch < self.epoch:
            return ()
        sender = self._views.update(state)
        if sender is views.SenderStatus.STRANGER:
            self._sequence += 1
            return (self._build_question(state.rank),)
        if sender is views.SenderStatus.OUTDATED:
            return ()
        if sender is views.SenderStatus.REPLACED and self._views.is_progress_lost():
            return self._restart(now)
        moved = self._advance_phase(now)
        if sender is views.SenderStatus.REPLACED and not moved:
            return self._build_rank_effects(state.rank, now)
        return moved

    def handle_map_prepared(
        self, prepared: expertmaps.MapPrepared, now: float
    ) -> tuple[effects.Effect, ...]:
        """Handles a rank's acknowledgement that it loaded a map."""
        if prepared.epoch != self.epoch or self._is_inactive():
            return ()
        self._views.note_prepared(prepared)
        return self._advance_phase(now)

    def handle_map_outcome(
        self, outcome: changes.MapOutcome, now: float
    ) -> tuple[effects.Effect, ...]:
        """Handles the log's answer to ``CommitMap``."""
        if self.phase is not Phase.COMMITTING or self._next_map is None:
            return ()
        if outcome.status is not changes.ChangeStatus.ACCEPTED:
            return self._step_down(self.epoch + 1)
        if outcome.version != self._next_map.version:
            return ()
        self._schedule = self._schedule.append(self._first_step, self._next_map)
        self._next_map = None
        self.phase = Phase.GRANTING
        return self._build_effects(now)

    def tick(self, now: float) -> tuple[effects.Effect, ...]:
        """Resends unanswered messages; call it several times a second."""
        if self._is_inactive():
            return ()
        wait = REFRESH_INTERVAL_S if self._is_steady() else RESEND_INTERVAL_S
        return self._build_effects(now) if now - self._sent_at >= wait else ()

    def _is_inactive(self) -> bool:
        return self.phase in (Phase.IDLE, Phase.DEPOSED)

    def _step_down(self, epoch: int) -> tuple[effects.Effect, ...]:
        self.phase = Phase.DEPOSED
        return (effects.Deposed(epoch),)

    def _restart(self, now: float) -> tuple[effects.Effect, ...]:
        """Requests a new epoch because no rank knows the group's progress."""
        self._restarts += 1
        return self.start(f"{self._request_id}+{self._restarts}", now)

    def _is_steady(self) -> bool:
        newest = self._schedule.newest
        versions = (newest.version,) if newest else ()
        granting = self.phase is Phase.GRANTING
        return granting and self._views.have_permits(self._last_granted_step, versions)

    def _advance_phase(self, now: float) -> tuple[effects.Effect, ...]:
        if not self._views.is_complete():
            return ()
        if self.phase is Phase.ASKING:
            lost = self._views.is_progress_lost()
            self._base_step = self.epoch * STEPS_PER_EPOCH if lost else 0
            self.phase = Phase.GRANTING
        elif self.phase is Phase.GRANTING and self._needs_extension():
            pass
        elif self.phase is Phase.PREPARING and self._is_prepared():
            self._begin_cut()
        elif self.phase is Phase.CUTTING and self._is_cut_acknowledged():
            self._first_step = self._choose_first_step()
            self.phase = Phase.COMMITTING
        else:
            return ()
        return self._build_effects(now)

    def _is_prepared(self) -> bool:
        return self._next_map is not None and self._views.have_prepared(
            self._next_map.version
        )

    def _needs_extension(self) -> bool:
        """Whether the ranks have used half of their permitted steps."""
        left = self._last_granted_step - self._find_next_step()
        return (
            self._schedule.newest is not None
            and left < self._settings.horizon_steps // 2
        )

    def _find_next_step(self) -> int:
        """Finds the furthest next step of any rank, or the first step of all."""
        begin = max(self._base_step, self._schedule.newest_first_step)
        return max(begin, self._views.find_next_step())

    def _find_oldest_step(self) -> int:
        """Finds the oldest step that a rank may still run."""
        return max(self._base_step, self._views.find_oldest_step())

    def _begin_cut(self) -> None:
        # Offers from before the cut have lower sequence numbers, so a rank that
        # has acknowledged the cut rejects them.
        first = self._schedule.newest is None
        self._last_granted_step = (
            0 if first else self._find_next_step() + self._settings.cut_steps
        )
        self._cut_sequence = self._sequence + 1
        self.phase = Phase.CUTTING

    def _is_cut_acknowledged(self) -> bool:
        return self._views.have_acknowledged(
            self._cut_sequence, self._last_granted_step
        )

    def _choose_first_step(self) -> int:
        if self._schedule.newest is None:
            return self.epoch * STEPS_PER_EPOCH
        bound = max(self._last_granted_step, self._views.find_next_step() - 1)
        return bound + LOST_RANK_STEPS + 1

    def _build_effects(self, now: float) -> tuple[effects.Effect, ...]:
        self._sent_at = now
        if self.phase is Phase.TAKING_EPOCH:
            return (changes.TakeEpoch(self.group, self.holder, self._request_id),)
        sent: list[effects.Effect] = []
        if self.phase is Phase.COMMITTING and self._next_map is not None:
            sent.append(self._build_commit(self._next_map))
        if self.phase in (Phase.GRANTING, Phase.PREPARING):
            self._extend_permits()
        for rank in range(len(self._views.states)):
            sent.extend(self._build_rank_effects(rank, now))
        return tuple(sent)

    def _build_commit(self, expert_map: expertmaps.ExpertMap) -> changes.CommitMap:
        return changes.CommitMap(
            self.group,
            self.epoch,
            expert_map.version,
            codec.pack(expert_map),
            self._first_step,
        )

    def _extend_permits(self) -> None:
        if self._needs_extension():
            self._last_granted_step = (
                self._find_next_step() + self._settings.horizon_steps
            )
        self._schedule = self._schedule.drop_before(self._find_oldest_step())

    def _build_rank_effects(self, rank: int, now: float) -> tuple[effects.Effect, ...]:
        """Returns the next messages to a rank, with a new sequence number."""
        state = self._views.states[rank]
        self._sequence += 1
        if state is None or self.phase is Phase.ASKING:
            return (self._build_question(rank),)
        sent: list[effects.Effect] = []
        for expert_map in self._list_maps_to_load():
            if self._views.must_prepare(rank, expert_map.version, now):
                request = expertmaps.PrepareMap(self.group, self.epoch, expert_map)
                sent.append(effects.Prepare(rank, request))
        permits = self._schedule.list_permits(
            self.group, self.epoch, self._base_step, self._last_granted_step
        )
        offer = expertmaps.PermitOffer(
            self.group, self.epoch, permits, self._sequence, state.incarnation
        )
        return (*sent, effects.Offer(rank, offer))

    def _build_question(self, rank: int) -> effects.Ask:
        question = expertmaps.RankQuestion(self.group, self.epoch, self._sequence)
        return effects.Ask(rank, question)

    def _list_maps_to_load(self) -> tuple[expertmaps.ExpertMap, ...]:
        maps = self._schedule.maps
        return (*maps, self._next_map) if self._next_map else maps
