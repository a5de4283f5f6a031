"""Coordinates the model groups from the host of the log's leader.

One task runs a ``Coordinator`` for each group of the configuration, performs its
effects over RPC and through the log, and passes it the answers. Being the leader only
decides which host coordinates. Stale coordinators are rejected by the epoch that the
log assigns, which each rank's agent checks.
"""

import asyncio
import collections.abc
import typing
import uuid

import loguru
from returns import result

from lycheegauge import errors
from lycheegauge.internal.coordination.groups import coordinator, effects, layouts
from lycheegauge.internal.daemons import lognode
from lycheegauge.internal.protocol import (
    changes,
    expertmaps,
    freshness,
    groups,
    intents,
)
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.state import epochs
from lycheegauge.internal.transport import clock, peers

TICK_S = 0.2
RANK_CALL_TIMEOUT_S = 1.0
PREPARE_TIMEOUT_S = 30.0  # equals the agent's own time-out for an engine's load
PREPARE_RETRY_INTERVAL_S = 1.0
EPOCH_RETRY_INTERVAL_S = 1.0

ListServers = collections.abc.Callable[
    [], collections.abc.Iterable[freshness.BackendServer]
]


class GroupCoordination:
    """Runs the coordinators of all groups while this host's replica is the leader.

    Args:
        node: This host's replica of the log.
        holder: This entry host's name, which the log stores with an epoch.
        list_servers: Returns the backend servers that are currently known.
    """

    def __init__(
        self,
        node: lognode.LogNode,
        holder: str,
        list_servers: ListServers,
    ) -> None:
        self._node = node
        # Not shared with requests: these drop the channel of an agent that failed,
        # which would abort a pending load on the same channel.
        self._pool = peers.ChannelPool()
        self._holder = holder
        self._list_servers = list_servers
        self._group_runs: dict[str, GroupRun] = {}

    async def run(self) -> None:
        """Starts, drives and stops coordinators until cancelled."""
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_S)
        finally:
            for name in list(self._group_runs):
                self._group_runs.pop(name).close()
            self._pool.close()

    def tick(self) -> None:
        """Applies changes of the leadership and the configuration to coordinators."""
        configured: dict[str, intents.ModelGroup] = {}
        if self._node.task.is_leader:
            intent = self._node.configuration.intent
            configured = {group.name: group for group in intent.model_groups}
        for name in self._group_runs.keys() - configured.keys():
            self._group_runs.pop(name).close()
        now = clock.read_clock()
        for name, group in configured.items():
            if name not in self._group_runs:
                self._group_runs[name] = self._make_run(group)
            self._group_runs[name].tick(group, now)

    def _make_run(self, group: intents.ModelGroup) -> "GroupRun":
        return GroupRun(group, self._node, self._pool, self._holder, self._list_servers)


class GroupRun:
    """Performs the effects of one group's coordinator."""

    def __init__(
        self,
        group: intents.ModelGroup,
        node: lognode.LogNode,
        pool: peers.ChannelPool,
        holder: str,
        list_servers: ListServers,
    ) -> None:
        self._group = group
        self._node = node
        self._pool = pool
        self._list_servers = list_servers
        self._core = coordinator.Coordinator(group.name, group.ranks, holder)
        self._next_epoch_attempt_at = float("-inf")
        self._placed_group: intents.ModelGroup | None = None
        self._placements: tuple[expertmaps.ExpertPlacement, ...] = ()
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancels all calls; the ranks keep their permits."""
        for task in self._tasks:
            task.cancel()

    def tick(self, group: intents.ModelGroup, now: float) -> None:
        """Acquires an epoch if there is none, else resends and proposes what is due."""
        if group.ranks != self._group.ranks:
            # Permits of removed ranks can't be revoked, so the size of a group is
            # fixed for as long as it has this name.
            loguru.logger.warning(
                f"group {group.name} can't be resized from {self._group.ranks} ranks",
                step="coordinate group",
            )
            return
        self._group = group
        inactive_phases = (coordinator.Phase.IDLE, coordinator.Phase.DEPOSED)
        if self._core.phase in inactive_phases:
            if now >= self._next_epoch_attempt_at:
                self._next_epoch_attempt_at = now + EPOCH_RETRY_INTERVAL_S
                self._perform(self._core.start(uuid.uuid4().hex, now))
            return
        self._perform(self._core.tick(now))
        self._propose_map(now)

    def _propose_map(self, now: float) -> None:
        """Starts a switch to the map that follows from the configuration."""
        if self._core.phase is not coordinator.Phase.GRANTING:
            return
        if self._placed_group != self._group:
            self._placed_group = self._group
            self._placements = place_experts(self._group)
        current = self._core.current_map
        if not self._placements or current and current.placements == self._placements:
            return
        version = current.version + 1 if current else 1
        expert_map = expertmaps.ExpertMap(self._group.name, version, self._placements)
        proposed = self._core.propose_map(expert_map, now)
        if isinstance(proposed, result.Success):
            self._log(f"switching to map version {version}")
            self._perform(proposed.unwrap())

    def _log(self, message: str) -> None:
        loguru.logger.info(
            message,
            step="coordinate group",
            group=self._group.name,
            epoch=self._core.epoch,
            phase=str(self._core.phase),
        )

    # Effects of the coordinator.

    def _perform(self, pending: collections.abc.Iterable[effects.Effect]) -> None:
        for effect in pending:
            if isinstance(effect, effects.Deposed):
                self._log(f"deposed by epoch {effect.epoch}")
                continue
            task = asyncio.create_task(self._perform_effect(effect))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _perform_effect(self, effect: effects.Effect) -> None:
        try:
            if isinstance(effect, changes.TakeEpoch):
                await self._take_epoch(effect)
            elif isinstance(effect, changes.CommitMap):
                await self._commit_map(effect)
            elif isinstance(effect, effects.Prepare):
                await self._prepare(effect)
            elif isinstance(effect, effects.Ask):
                await self._send(effect.rank, "AskRank", effect.question)
            elif isinstance(effect, effects.Offer):
                await self._send(effect.rank, "OfferPermit", effect.offer)
        except errors.LycheegaugeError as error:
            # The coordinator resends everything that was not answered.
            loguru.logger.debug(str(error), step="coordinate group", peer=error.peer)

    async def _take_epoch(self, change: changes.TakeEpoch) -> None:
        outcome = (await self._node.task.propose(change)).value_or(None)
        if not isinstance(outcome, changes.EpochOutcome):
            return
        now = clock.read_clock()
        pending = self._core.handle_epoch_outcome(outcome, self._read_record(), now)
        self._log(f"took epoch {outcome.epoch}")
        self._perform(pending)

    async def _commit_map(self, change: changes.CommitMap) -> None:
        outcome = (await self._node.task.propose(change)).value_or(None)
        if isinstance(outcome, changes.MapOutcome):
            now = clock.read_clock()
            pending = self._core.handle_map_outcome(outcome, now)
            self._log(f"map version {outcome.version} is committed")
            self._perform(pending)

    def _read_record(self) -> groups.GroupRecord:
        part = typing.cast(epochs.Epochs, self._node.machine.parts["epochs"])
        return part.find_record(self._group.name)

    async def _prepare(self, effect: effects.Prepare) -> None:
        """Has a rank load a map, and retries a failed call.

        The coordinator itself asks again only much later.
        """
        give_up_at = clock.read_clock() + PREPARE_TIMEOUT_S
        while effect.prepare.epoch == self._core.epoch:
            try:
                prepared = await self._call(
                    effect.rank, "Prepare", effect.prepare, PREPARE_TIMEOUT_S
                )
            except errors.PeerUnreachableError:
                if clock.read_clock() >= give_up_at:
                    raise
                await asyncio.sleep(PREPARE_RETRY_INTERVAL_S)
                continue
            self._perform(self._core.handle_map_prepared(prepared, clock.read_clock()))
            return

    async def _send(
        self,
        rank: int,
        method: str,
        message: expertmaps.RankQuestion | expertmaps.PermitOffer,
    ) -> None:
        state = await self._call(rank, method, message, RANK_CALL_TIMEOUT_S)
        if not state.accepted and not state.epoch:
            state = await self._confirm_epoch(state)
        if state is not None:
            self._perform(self._core.handle_rank_state(state, clock.read_clock()))

    async def _confirm_epoch(
        self, state: expertmaps.RankState
    ) -> expertmaps.RankState | None:
        """Sends a restarted agent the epoch, read from the log after its restart.

        With an earlier read the agent could accept a deposed coordinator's offer.
        """
        read = await self._node.task.read()
        epoch = self._core.epoch
        if isinstance(read, result.Failure) or self._read_record().epoch != epoch:
            return None
        question = expertmaps.RankQuestion(
            self._group.name, epoch, confirmed_for=state.incarnation
        )
        answer: expertmaps.RankState = await self._call(
            state.rank, "AskRank", question, RANK_CALL_TIMEOUT_S
        )
        return answer

    async def _call(
        self, rank: int, method: str, message: typing.Any, timeout_s: float
    ) -> typing.Any:
        address = self._find_address(rank)
        try:
            return await self._pool.call(
                address,
                "coordinate group",
                lambda channel: getattr(services_grpc.AgentStub(channel), method),
                message,
                timeout_s,
            )
        except errors.PeerUnreachableError:
            self._pool.drop_channel(address)
            raise

    def _find_address(self, rank: int) -> str:
        """Finds the agent of a rank, preferring one whose server is not leaving.

        Raises:
            errors.PeerUnreachableError: No known backend server has this rank.
        """
        found = [
            server
            for server in self._list_servers()
            if (server.group, server.rank) == (self._group.name, rank)
        ]
        if not found:
            message = f"no backend server is rank {rank} of group {self._group.name}"
            raise errors.PeerUnreachableError(message, "coordinate group")
        return min(found, key=lambda server: server.leaving).agent_address


def place_experts(
    group: intents.ModelGroup,
) -> tuple[expertmaps.ExpertPlacement, ...]:
    """Places a group's experts assuming equal loads; empty if they don't fit."""
    loads = [1.0] * group.experts
    speeds = [1.0] * group.ranks
    try:
        layout = layouts.place_greedily(loads, speeds, group.replica_slots)
    except ValueError as error:
        loguru.logger.warning(str(error), step="place experts", group=group.name)
        return ()
    expert_map = layouts.build_map(group.name, 1, [layout] * group.layers)
    return expert_map.placements
