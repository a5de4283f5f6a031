"""An agent's pulls from entry hosts.

A pull announces the agent and its backend server, and fetches proofs of freshness
and changes of the configuration.
"""

import asyncio
import collections
import collections.abc
import dataclasses

import loguru

from lycheegauge import errors
from lycheegauge.internal.coordination import agentcore, followers
from lycheegauge.internal.protocol import changes, freshness, work
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

PULL_INTERVAL_S = 0.5
PULLED_ENTRY_HOSTS_MAX = 3
CACHE_EVENTS_MAX = 256


@dataclasses.dataclass(frozen=True, slots=True)
class AgentState:
    """State of an agent and its backend server that is sent with a pull."""

    core: agentcore.AgentCore
    backend_server: freshness.BackendServer
    load: work.LoadReport


BuildAgentState = collections.abc.Callable[[], AgentState | None]


class AgentPuller:
    """Pulls from the agent's entry hosts and applies their replies.

    Args:
        follower: The agent's view of its configuration, and its lease.
        pool: Channels to entry hosts.
        entry_hosts: Addresses from the settings, used until entry hosts are chosen.
        build_state: Builds the state to send; returns ``None`` while no backend
            server has announced itself, and then nothing is pulled.
    """

    def __init__(
        self,
        follower: followers.AgentFollower,
        pool: peers.ChannelPool,
        entry_hosts: collections.abc.Sequence[str],
        build_state: BuildAgentState,
    ) -> None:
        self._follower = follower
        self._pool = pool
        self._configured_hosts = tuple(entry_hosts)
        self._entry_hosts = list(entry_hosts)
        self._build_state = build_state
        self._last_record: freshness.BackendServer | None = None
        self._pending_clearances: list[changes.ClearSuspect] = []
        self._cache_events: collections.deque[work.CacheEvent] = collections.deque(
            maxlen=CACHE_EVENTS_MAX
        )
        self._pulls: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the periodic pulls."""
        self._task = asyncio.create_task(self._keep_pulling())

    def close(self) -> None:
        """Cancels all pulls."""
        for task in [self._task, *self._pulls]:
            if task is not None:
                task.cancel()

    def add_clearance(self, clearance: changes.ClearSuspect) -> None:
        """Sends a clearance with each pull until it is recorded in the log.

        A suspect is cleared when it ran alone to its end.
        """
        self._pending_clearances.append(clearance)

    def add_cache_event(self, event: work.CacheEvent) -> None:
        """Sends a cache event with each pull until one is answered."""
        self._cache_events.append(event)

    async def _keep_pulling(self) -> None:
        """Pulls from this agent's entry hosts, one of them at a time, in rotation.

        Pulling from all of them each time would send three times the bytes. Each
        pull is a task of its own, so that a host that does not answer does not
        delay the next pull.
        """
        turn = 0
        while True:
            pulled = self._entry_hosts[:PULLED_ENTRY_HOSTS_MAX]
            task = asyncio.create_task(self._try_pull(pulled[turn % len(pulled)]))
            self._pulls.add(task)
            task.add_done_callback(self._pulls.discard)
            turn += 1
            await asyncio.sleep(PULL_INTERVAL_S)

    async def _try_pull(self, address: str) -> None:
        try:
            await self._pull(address)
        except errors.LycheegaugeError as error:
            loguru.logger.debug(str(error), step="pull", peer=address)
            self._pool.drop_channel(address)
            self._move_to_end(address)

    def _move_to_end(self, address: str) -> None:
        """Moves an entry host that did not answer to the end of the list."""
        if address in self._entry_hosts:
            self._entry_hosts.remove(address)
            self._entry_hosts.append(address)

    async def _pull(self, address: str) -> None:
        state = self._build_state()
        if state is None:
            return
        request_number, pull = self._make_pull(state)
        reply: freshness.AgentPullReply = await self._pool.call(
            address,
            "pull",
            lambda channel: services_grpc.EntryStub(channel).Pull,
            pull,
        )
        self._apply_pull_reply(state.core, request_number, reply, pull)

    def _make_pull(self, state: AgentState) -> tuple[int, freshness.AgentPull]:
        core = state.core
        backend_server = self._assign_version(state.backend_server)
        crashes = tuple(
            changes.ReportCrash(
                report.backend_server,
                report.boot_id,
                report.fingerprints,
                0.0,
                report.alone,
            )
            for report in core.gate.crashes.pending
        )
        request_number, pull = self._follower.begin_pull(
            backend_server, state.load, clock.read_clock()
        )
        return request_number, dataclasses.replace(
            pull,
            crashes=crashes,
            clearances=tuple(self._pending_clearances),
            cache_events=tuple(self._cache_events),
            quarantine_version=core.gate.quarantine.version,
        )

    def _assign_version(
        self, record: freshness.BackendServer
    ) -> freshness.BackendServer:
        """Gives a changed record the next version, so that it replaces the previous."""
        current = self._last_record
        if (
            current is None
            or dataclasses.replace(record, version=current.version) != current
        ):
            version = current.version + 1 if current else 1
            self._last_record = current = dataclasses.replace(record, version=version)
        return current

    def _apply_pull_reply(
        self,
        core: agentcore.AgentCore,
        request_number: int,
        reply: freshness.AgentPullReply,
        pull: freshness.AgentPull,
    ) -> None:
        now = clock.read_clock()
        self._follower.apply_reply(request_number, reply, now)
        core.gate.apply_pull_reply(
            dataclasses.replace(
                reply,
                availability_zone_out=self._follower.availability_zone_out,
                backend_server_out=self._follower.backend_server_out,
            )
        )
        if reply.quarantine is not None:
            core.gate.quarantine.update(reply.quarantine)
        for boot_id in reply.recorded_boots:
            core.gate.crashes.acknowledge(boot_id)
        recorded = set(reply.recorded_clearances)
        self._pending_clearances = [
            item
            for item in self._pending_clearances
            if item not in pull.clearances or item.fingerprint not in recorded
        ]
        for event in pull.cache_events:
            if event in self._cache_events:
                self._cache_events.remove(event)
        self._update_entry_hosts()

    def _update_entry_hosts(self) -> None:
        """Uses the entry hosts chosen for this agent, then those of the settings.

        Those of the settings are kept as a fallback for when all chosen ones fail.
        """
        chosen = [host.peer_address for host in self._follower.entry_hosts]
        fallback = [item for item in self._configured_hosts if item not in chosen]
        if {*chosen, *fallback} != {*self._entry_hosts}:
            self._entry_hosts = [*chosen, *fallback]
