"""What an agent asks entry hosts: proofs, and the way to announce itself."""

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
ENTRY_HOSTS_ASKED = 3
CACHE_EVENTS_KEPT = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What an agent says of itself and of its backend server in a pull."""

    core: agentcore.AgentCore
    backend_server: freshness.BackendServer
    load: work.LoadReport


MakeStatement = collections.abc.Callable[[], Statement | None]


class AgentPuller:
    """Pulls from the agent's entry hosts and applies what they answer.

    Args:
        follower: What the agent knows of its configuration, and its lease.
        pool: Channels to entry hosts.
        entry_hosts: Where to start, from the settings.
        make_statement: Says what to tell; ``None`` while there is nothing.
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
        """Starts pulling."""
        self._task = asyncio.create_task(self._keep_pulling())

    def close(self) -> None:
        """Ends all pulls."""
        for task in [self._task, *self._pulls]:
            if task is not None:
                task.cancel()

    def add_clearance(self, fingerprint: str) -> None:
        """Reports a suspect that ran alone to its end, until it is recorded."""
        self._cleared.append(fingerprint)

    def add_cache_event(self, event: work.CacheEvent) -> None:
        """Passes a cache event on with a pull."""
        self._cache_events.append(event)

    async def _keep_pulling(self) -> None:
        """Asks this agent's entry hosts in turn.

        All of them each time were three times the bytes, and a host that does
        not answer would hold up the next question.
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
        """Asks an entry host that gave no answer after all others."""
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
        """Gives a changed record the next version, so that it replaces the last."""
        held = self._record
        if held is None or dataclasses.replace(record, version=held.version) != held:
            version = held.version + 1 if held else 1
            self._record = held = dataclasses.replace(record, version=version)
        return held

    def _take_pull_reply(
        self,
        core: agentcore.AgentCore,
        question: int,
        reply: freshness.AgentPullReply,
        pull: freshness.AgentPull,
    ) -> None:
        now = clock.read_clock()
        self._follower.apply_reply(question, reply, now)
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
        for fingerprint in reply.recorded_clearances:
            if fingerprint in self._cleared:
                self._cleared.remove(fingerprint)
        for event in pull.cache_events:
            if event in self._cache_events:
                self._cache_events.remove(event)
        self._follow_entry_hosts()

    def _follow_entry_hosts(self) -> None:
        """Asks the entry hosts chosen for this agent; the settings' come last.

        Those of the settings stay as a way back when all chosen ones are lost.
        """
        chosen = [host.peer_address for host in self._follower.entry_hosts]
        rest = [item for item in self._settings_hosts if item not in chosen]
        if {*chosen, *rest} != {*self._entry_hosts}:
            self._entry_hosts = [*chosen, *rest]
