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
from lycheegauge.internal.coordination import execution, followers
from lycheegauge.internal.protocol import changes, freshness, work
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import clock, peers

PULL_INTERVAL_S = 0.5
ENTRY_HOSTS_ASKED = 3
CACHE_EVENTS_KEPT = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """State of an agent and its backend server that is sent with a pull."""

    core: execution.AgentCore
    backend_server: freshness.BackendServer
    load: work.LoadReport


MakeStatement = collections.abc.Callable[[], Statement | None]


class AgentPuller:
    """Pulls from the agent's entry hosts and applies their replies.

    Args:
        follower: The agent's view of its configuration, and its lease.
        pool: Channels to entry hosts.
        entry_hosts: Addresses from the settings, used until entry hosts are chosen.
        make_statement: Builds the state to send; returns ``None`` while no backend
            server has announced itself, and then nothing is pulled.
    """

    def __init__(
        self,
        follower: followers.AgentFollower,
        pool: peers.ChannelPool,
        entry_hosts: collections.abc.Sequence[str],
        make_statement: MakeStatement,
    ) -> None:
        self._follower = follower
        self._pool = pool
        self._settings_hosts = tuple(entry_hosts)
        self._entry_hosts = list(entry_hosts)
        self._make_statement = make_statement
        self._record: freshness.BackendServer | None = None
        self._cleared: list[str] = []
        self._cache_events: collections.deque[work.CacheEvent] = collections.deque(
            maxlen=CACHE_EVENTS_KEPT
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

    def add_clearance(self, fingerprint: str) -> None:
        """Sends a clearance with each pull until it is recorded in the log.

        A suspect is cleared when it ran alone to its end.
        """
        self._cleared.append(fingerprint)

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
            asked = self._entry_hosts[:ENTRY_HOSTS_ASKED]
            task = asyncio.create_task(self._try_pull(asked[turn % len(asked)]))
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
            self._put_last(address)

    def _put_last(self, address: str) -> None:
        """Moves an entry host that did not answer to the end of the list."""
        if address in self._entry_hosts:
            self._entry_hosts.remove(address)
            self._entry_hosts.append(address)

    async def _pull(self, address: str) -> None:
        statement = self._make_statement()
        if statement is None:
            return
        question, pull = self._make_pull(statement)
        reply: freshness.AgentPullReply = await self._pool.call(
            address,
            "pull",
            lambda channel: services_grpc.EntryStub(channel).Pull,
            pull,
        )
        self._take_pull_reply(statement.core, question, reply, pull)

    def _make_pull(self, statement: Statement) -> tuple[int, freshness.AgentPull]:
        core = statement.core
        backend_server = self._number_record(statement.backend_server)
        crashes = tuple(
            changes.ReportCrash(
                report.backend_server, report.boot_id, report.fingerprints, 0.0
            )
            for report in core.gate.crashes.pending
        )
        question, pull = self._follower.begin_pull(
            backend_server, statement.load, clock.read_clock()
        )
        return question, dataclasses.replace(
            pull,
            crashes=crashes,
            cleared=tuple(self._cleared),
            cache_events=tuple(self._cache_events),
            quarantine_version=core.gate.quarantine.version,
        )

    def _number_record(
        self, record: freshness.BackendServer
    ) -> freshness.BackendServer:
        """Gives a changed record the next version, so that it replaces the previous."""
        held = self._record
        if held is None or dataclasses.replace(record, version=held.version) != held:
            version = held.version + 1 if held else 1
            self._record = held = dataclasses.replace(record, version=version)
        return held

    def _take_pull_reply(
        self,
        core: execution.AgentCore,
        question: int,
        reply: freshness.AgentPullReply,
        pull: freshness.AgentPull,
    ) -> None:
        now = clock.read_clock()
        self._follower.take_reply(question, reply, now)
        core.gate.take_pull_reply(
            dataclasses.replace(
                reply,
                availability_zone_out=self._follower.availability_zone_out,
                backend_server_out=self._follower.backend_server_out,
            )
        )
        if reply.quarantine is not None:
            core.gate.quarantine.take(reply.quarantine)
        for boot_id in reply.recorded_boots:
            core.gate.crashes.acknowledge(boot_id)
        for fingerprint in reply.recorded_clearances:
            if fingerprint in self._cleared:
                self._cleared.remove(fingerprint)
        for event in pull.cache_events:
            if event in self._cache_events:
                self._cache_events.remove(event)
        self._follow_entry_hosts()

    def _follow_entry_hosts(self) -> None:
        """Uses the entry hosts chosen for this agent, then those of the settings.

        Those of the settings are kept as a fallback for when all chosen ones fail.
        """
        chosen = [host.peer_address for host in self._follower.entry_hosts]
        rest = [item for item in self._settings_hosts if item not in chosen]
        if {*chosen, *rest} != {*self._entry_hosts}:
            self._entry_hosts = [*chosen, *rest]
