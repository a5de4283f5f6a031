"""The rank's side of the step permit protocol, run by its agent."""

import dataclasses

from returns import result

from lycheegauge.internal.coordination.groups import refusals
from lycheegauge.internal.protocol import expertmaps

KEPT_VERSIONS = 2  # the running version and the one being prepared


@dataclasses.dataclass(frozen=True, slots=True)
class PendingLoad:
    """The weights that a rank must load before it can answer ``MapPrepared``.

    ``experts`` are the missing (layer, expert) pairs. The epoch is that of the request,
    because two coordinators may request different maps with the same version.
    """

    version: int
    epoch: int
    experts: tuple[tuple[int, int], ...]


PrepareResult = result.Result[
    expertmaps.MapPrepared | PendingLoad,
    refusals.EpochUnknownError | refusals.StaleEpochError,
]
StepResult = result.Result[
    expertmaps.StepPermit,
    refusals.EpochUnknownError | refusals.NoPermitError | refusals.MapNotLoadedError,
]


class RankCore:
    """Allows no step without a permit and refuses older epochs.

    Some engines ignore fencing numbers, so the agent must enforce fencing. Its state is
    not persistent: a restarted agent does not know which epochs it has refused, so
    until ``learn_epoch`` it accepts no offer and starts no step. When the engine
    restarts, its agent creates a new core with a new incarnation.

    Args:
        group: The group's name.
        rank: The rank's number.
        incarnation: A string that is unique to each start of the agent.
        next_step: One past the last step that the engine started; 0 if unknown.
        loaded: The maps that the engine holds, oldest first.
    """

    def __init__(
        self,
        group: str,
        rank: int,
        incarnation: str,
        next_step: int = 0,
        loaded: tuple[expertmaps.ExpertMap, ...] = (),
    ) -> None:
        self.group = group
        self.rank = rank
        self.incarnation = incarnation
        self._epoch: int | None = None
        self._sequence = 0
        self._permits: tuple[expertmaps.StepPermit, ...] = ()
        self._next_step = next_step
        self._loaded = {expert_map.version: expert_map for expert_map in loaded}
        self._loading: PendingLoad | None = None
        self._loading_map: expertmaps.ExpertMap | None = None

    @property
    def epoch(self) -> int | None:
        """The newest known epoch; ``None`` while it is unknown."""
        return self._epoch

    def report_state(self, accepted: bool = True) -> expertmaps.RankState:
        """Returns the state of this rank."""
        return expertmaps.RankState(
            self.group,
            self.rank,
            self.incarnation,
            self._epoch or 0,
            self._permits,
            tuple(sorted(self._loaded)),
            self._next_step,
            accepted and self._epoch is not None,
            self._sequence,
        )

    def learn_epoch(self, epoch: int) -> expertmaps.RankState:
        """Adopts the epoch that was read from the log.

        The read must have begun after this agent's start: an older value could let a
        deposed coordinator's offer through.
        """
        if self._epoch is None or epoch > self._epoch:
            self._epoch = epoch
            self._sequence = 0
        return self.report_state()

    def answer(self, question: expertmaps.RankQuestion) -> expertmaps.RankState:
        """Answers a coordinator and from then on refuses older ones."""
        if not self._accept_epoch(question.epoch):
            return self.report_state(accepted=False)
        self._sequence = max(self._sequence, question.sequence)
        return self.report_state()

    def handle_offer(self, offer: expertmaps.PermitOffer) -> expertmaps.RankState:
        """Replaces the permits if the offer is new and for this incarnation."""
        if not self._accept_epoch(offer.epoch):
            return self.report_state(accepted=False)
        if offer.sequence <= self._sequence:
            return self.report_state()
        # An offer to an earlier incarnation serves as a question: the answer with its
        # sequence number tells the coordinator the new incarnation.
        self._sequence = offer.sequence
        if offer.incarnation == self.incarnation:
            self._permits = offer.permits
        return self.report_state()

    def handle_prepare(self, prepare: expertmaps.PrepareMap) -> PrepareResult:
        """Returns what must be loaded for a map, or that it is prepared.

        A newer ``PendingLoad`` replaces one in progress.
        """
        if self._epoch is None:
            return result.Failure(_refuse_unknown_epoch("prepare"))
        if not self._accept_epoch(prepare.epoch):
            message = f"epoch {prepare.epoch} is older than {self._epoch}"
            return result.Failure(refusals.StaleEpochError(message, "prepare"))
        expert_map = prepare.expert_map
        if self._loaded.get(expert_map.version) == expert_map:
            return result.Success(self._report_prepared(prepare))
        missing = self._list_missing(expert_map)
        self._loaded.pop(expert_map.version, None)
        self._loading_map = expert_map
        self._loading = PendingLoad(expert_map.version, prepare.epoch, missing)
        if missing:
            return result.Success(self._loading)
        self._store_loaded(expert_map)
        return result.Success(self._report_prepared(prepare))

    def finish_load(self, loading: PendingLoad) -> expertmaps.MapPrepared | None:
        """Records that the engine has loaded everything listed in ``loading``.

        Returns ``None`` if another map has been requested since.
        """
        if self._loading_map is None or self._loading != loading:
            return None
        prepare = expertmaps.PrepareMap(self.group, loading.epoch, self._loading_map)
        self._store_loaded(self._loading_map)
        return self._report_prepared(prepare)

    def start_step(self, step: int) -> StepResult:
        """Returns the permit that covers ``step``; a step may not run without one."""
        if self._epoch is None:
            return result.Failure(_refuse_unknown_epoch("start step"))
        permit = self._find_permit(step)
        if permit is None:
            message = f"no permit covers step {step}; the coordinator must extend it"
            return result.Failure(refusals.NoPermitError(message, "start step"))
        if permit.map_version not in self._loaded:
            message = f"map version {permit.map_version} is not loaded"
            return result.Failure(refusals.MapNotLoadedError(message, "start step"))
        self._next_step = max(self._next_step, step + 1)
        return result.Success(permit)

    def list_loaded_experts(self) -> frozenset[tuple[int, int]]:
        """Lists the (layer, expert) pairs that the loaded maps need on this rank."""
        return frozenset(
            pair
            for expert_map in self._loaded.values()
            for pair in list_experts(expert_map, self.rank)
        )

    def _accept_epoch(self, epoch: int) -> bool:
        if self._epoch is None or epoch < self._epoch:
            return False
        if epoch > self._epoch:
            self._epoch = epoch
            self._sequence = 0
        return True

    def _find_permit(self, step: int) -> expertmaps.StepPermit | None:
        for permit in self._permits:
            if permit.first_step <= step <= permit.last_step:
                return permit
        return None

    def _list_missing(
        self, expert_map: expertmaps.ExpertMap
    ) -> tuple[tuple[int, int], ...]:
        held = self.list_loaded_experts()
        wanted = list_experts(expert_map, self.rank)
        return tuple(pair for pair in wanted if pair not in held)

    def _store_loaded(self, expert_map: expertmaps.ExpertMap) -> None:
        self._loaded[expert_map.version] = expert_map
        self._loading = self._loading_map = None
        permitted = [permit.map_version for permit in self._permits]
        newest = sorted(self._loaded)[-KEPT_VERSIONS:]
        kept = {*permitted, *newest, expert_map.version}
        self._loaded = {
            version: content
            for version, content in self._loaded.items()
            if version in kept
        }

    def _report_prepared(
        self, prepare: expertmaps.PrepareMap
    ) -> expertmaps.MapPrepared:
        # Reports the epoch of the request, not the newest one: a load that an older
        # coordinator began must not count for a newer one's map.
        return expertmaps.MapPrepared(
            self.group,
            self.rank,
            self.incarnation,
            prepare.epoch,
            prepare.expert_map.version,
        )


def list_experts(
    expert_map: expertmaps.ExpertMap, rank: int
) -> tuple[tuple[int, int], ...]:
    """Lists the (layer, expert) pairs that have a replica on ``rank``.

    A share of fraction 0 is a replica too: its weights stay loaded, so that a later
    split can use it without a move.
    """
    return tuple(
        (placement.layer, placement.expert)
        for placement in expert_map.placements
        if any(share.rank == rank for share in placement.shares)
    )


def _refuse_unknown_epoch(step: str) -> refusals.EpochUnknownError:
    message = "the agent restarted and does not know the current epoch yet"
    return refusals.EpochUnknownError(message, step)
