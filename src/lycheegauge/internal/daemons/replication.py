"""The task that connects a log replica with its journal, transport and state machine.

Messages and requests go into the task's inbox. One loop processes everything queued
there at once, so that concurrent proposals share a write.
"""

import asyncio
import collections.abc
import concurrent.futures
import random as random_source
import typing

import loguru
from returns import result

from lycheegauge import errors
from lycheegauge.internal.coordination import arrivals
from lycheegauge.internal.coordination.agreement import repair, replica, timing
from lycheegauge.internal.daemons import journalwriter, replicationrequests
from lycheegauge.internal.protocol import agreement, changes, codec
from lycheegauge.internal.state import journal as journals
from lycheegauge.internal.state import machine as machines

TICK_S = 0.05
REPAIR_INTERVAL_S = 1.0
SNAPSHOT_EVERY_ENTRIES = 1000
MAX_INBOX_MESSAGES = 20_000

Sender: typing.TypeAlias = collections.abc.Callable[
    [agreement.Voter, agreement.Message], None
]


class ReplicationTask:
    """Runs one replica of the log.

    Attributes:
        machine: As given.
        arrivals: Bounds when what is read now arrived, by the rounds of the loop.

    Args:
        journal: The data folder's journal; opened by ``start``.
        membership: The initial membership, from the settings.
        machine: The replicated state machine.
        send: Passes a message to the transport, which may lose it.
        clock: Returns seconds on a monotonic clock.
        random: The random source of election timeouts.
        log_timing: The timing parameters of the log.
        snapshot_every: Entries between two snapshots; 0 disables snapshots.
        executor: The executor of the journal's calls, one at a time; ``None`` creates
            one thread.
        standby_hosts: Hosts that may become voters besides those of the initial
            members; ``None`` allows any host.
        repair_interval_s: Seconds between two checks whether members need repair.
        voters: The intended number of voters; ``None`` keeps the initial number.
    """

    def __init__(
        self,
        journal: journals.Journal,
        membership: agreement.Membership,
        machine: machines.StateMachine,
        send: Sender,
        clock: collections.abc.Callable[[], float],
        random: random_source.Random,
        log_timing: timing.Timing | None = None,
        snapshot_every: int = SNAPSHOT_EVERY_ENTRIES,
        executor: concurrent.futures.Executor | None = None,
        standby_hosts: frozenset[str] | None = frozenset(),
        repair_interval_s: float = REPAIR_INTERVAL_S,
        voters: int | None = None,
    ) -> None:
        self.machine = machine
        self.arrivals = arrivals.ArrivalBounds()
        self._writer = journalwriter.JournalWriter(journal, executor, self._enqueue)
        self._membership = membership
        self._send = send
        self._clock = clock
        self._random = random
        self._log_timing = log_timing or timing.Timing()
        self._snapshot_every = snapshot_every
        self._replica: replica.Replica | None = None
        self._inbox: collections.deque[typing.Any] = collections.deque()
        self._wakeup = asyncio.Event()
        self._requests = replicationrequests.PendingRequests()
        self._outcomes: dict[int, bytes] = {}
        self._is_closing = False
        self._failure: errors.LycheegaugeError | None = None
        self._loop_task: asyncio.Task[None] | None = None
        hosts = {member.host for member in (*membership.voters, *membership.learners)}
        allowed = None if standby_hosts is None else standby_hosts | hosts
        self._repair = repair.Repair(voters or len(membership.voters), allowed)
        self._repair_interval_s = repair_interval_s
        self._repair_due_at = 0.0
        self._logged_leader: agreement.Voter | None = None
        self._logged_membership = membership
        self._round_at = 0.0

    async def start(self) -> None:
        """Opens the journal and starts the replica.

        Raises:
            errors.JournalDamagedError: The journal is damaged before its tail.
            errors.StorageFailedError: The data folder can't be used.
        """
        loop = asyncio.get_running_loop()
        stored = await self._writer.open()
        if stored.snapshot is not None:
            self.machine.restore(stored.snapshot.state)
        self._replica = replica.Replica(
            stored, self._membership, self._log_timing, self._random, self._clock()
        )
        self._round_at = self._clock()
        self._loop_task = loop.create_task(self._run())
        self._loop_task.add_done_callback(self._handle_loop_end)

    async def close(self) -> None:
        """Ends the loop after the write in progress, and closes the journal."""
        if self._loop_task is not None:
            self._is_closing = True
            self._wakeup.set()
            await asyncio.wait([self._loop_task])
        closed = errors.LogUnavailableError("this replica is closed; use another")
        self._failure = self._failure or closed
        self._requests.fail_all(closed)
        await self._writer.close()

    def describe_contacts(self) -> repair.Contacts | None:
        """Returns the replicas that a leader is in contact with; else ``None``."""
        if self._replica is None or self._failure:
            return None
        return self._replica.describe_contacts(self._clock())

    @property
    def identity(self) -> agreement.Voter | None:
        """This replica's identity; ``None`` before ``start``."""
        return self._replica.identity if self._replica else None

    @property
    def leader(self) -> agreement.Voter | None:
        """The leader that this replica follows, which may be itself."""
        return self._replica.leader if self._replica and not self._failure else None

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader."""
        return bool(self._replica and self._replica.is_leader and not self._failure)

    @property
    def is_first_leader(self) -> bool:
        """Whether this replica leads, and no leader before has committed anything."""
        return self.is_leader and bool(self._replica and self._replica.is_first_leader)

    @property
    def membership(self) -> agreement.Membership:
        """The current membership."""
        return self._replica.membership if self._replica else self._membership

    @property
    def commit_index(self) -> int:
        """The last index that is committed and also synced to this journal."""
        return self._replica.commit_index if self._replica else 0

    @property
    def applied_index(self) -> int:
        """The last index applied to ``machine``; commits are applied immediately."""
        return self.commit_index

    @property
    def failure(self) -> errors.LycheegaugeError | None:
        """Why this replica stopped, or ``None``."""
        return self._failure

    @property
    def term(self) -> int:
        """The current term."""
        return self._replica.term if self._replica else 0

    def set_announce_hosts(self, hosts: tuple[str, ...]) -> None:
        """Sets the hosts to which this replica announces itself as a non-member."""
        if self._replica is not None:
            self._replica.set_announce_hosts(hosts)

    def deliver(self, message: agreement.Message) -> None:
        """Queues a message from another replica; drops it when the inbox is full."""
        if len(self._inbox) < MAX_INBOX_MESSAGES:
            self._enqueue(message)

    async def propose(
        self, change: changes.Change
    ) -> result.Result[changes.Outcome, errors.LycheegaugeError]:
        """Commits a change and returns its outcome.

        After a ``LeadershipLostError`` or ``StorageFailedError`` the outcome is
        unknown: the change may still be committed.
        """
        request_id = self._requests.allocate_id()
        answer = await self._submit(
            request_id, replicationrequests.Proposal(request_id, codec.pack(change))
        )
        return answer.map(codec.unpack)

    async def propose_membership(
        self, membership: agreement.Membership
    ) -> result.Result[int, errors.LycheegaugeError]:
        """Commits a membership and returns its index."""
        request_id = self._requests.allocate_id()
        return await self._submit(
            request_id, replicationrequests.MembershipProposal(request_id, membership)
        )

    async def read(self) -> result.Result[int, errors.LycheegaugeError]:
        """Returns a commit index that a quorum confirmed after this call."""
        request_id = self._requests.allocate_id()
        return await self._submit(request_id, replicationrequests.Read(request_id))

    async def _submit(
        self, request_id: str, request: typing.Any
    ) -> replicationrequests.Answer:
        failure = self._failure or self._requests.find_refusal()
        if failure is not None:
            return result.Failure(failure)
        answer = self._requests.add(request_id)
        self._enqueue(request)
        return await answer

    def _refuse(self, refusal: str) -> replicationrequests.Answer:
        leader = self.leader
        error = replicationrequests.make_error(refusal, leader.host if leader else "")
        return result.Failure(error)

    def _enqueue(self, item: typing.Any) -> None:
        self._inbox.append(item)
        self._wakeup.set()

    async def _run(self) -> None:
        """Processes the inbox and ticks the replica until it is stopped."""
        loop = asyncio.get_running_loop()
        while self._failure is None and not self._is_closing:
            timer = loop.call_later(TICK_S, self._wakeup.set)
            await self._wakeup.wait()
            timer.cancel()
            self._wakeup.clear()
            paused_s, self._round_at = self._clock() - self._round_at, self._clock()
            self.arrivals.note_round(self._round_at)
            self._process_inbox()
            if self._failure is None and self._replica is not None:
                self._perform_effects(self._replica.tick(self._clock()))
                self._repair_members()
                self._log_changes(paused_s)

    def _log_changes(self, paused_s: float) -> None:
        """Logs changes of the leader and of the membership that this replica sees.

        Args:
            paused_s: Time since the previous round of the loop, in seconds. It is
                long if this process stood still.
        """
        assert self._replica is not None
        leader, identity = self._replica.leader, self._replica.identity
        if leader != self._logged_leader:
            if self._logged_leader == identity:
                loguru.logger.warning(
                    "stopped leading the log",
                    term=self.term,
                    successor=leader.host if leader else "",
                    paused_s=round(paused_s, 3),
                )
            self._logged_leader = leader
            loguru.logger.info(
                "following a leader of the log" if leader else "no leader of the log",
                term=self.term,
                leader=leader.host if leader else "",
            )
        if self.membership != self._logged_membership:
            self._logged_membership = self.membership
            loguru.logger.info(
                "membership of the log",
                voters=[voter.host for voter in self.membership.voters],
                learners=[voter.host for voter in self.membership.learners],
                term=self.term,
            )

    def _repair_members(self) -> None:
        """Proposes the next membership change of a repair, if one is due."""
        now = self._clock()
        if now < self._repair_due_at or self._replica is None:
            return
        self._repair_due_at = now + self._repair_interval_s
        contacts = self._replica.describe_contacts(now)
        membership = self._repair.decide(contacts) if contacts else None
        if membership is not None:
            loguru.logger.info("repair proposes membership {}", membership)
            effects = self._replica.propose_membership("repair", membership, now)
            self._perform_effects(effects)

    def _process_inbox(self) -> None:
        assert self._replica is not None
        proposals: list[tuple[str, bytes]] = []
        while self._inbox and self._failure is None:
            item = self._inbox.popleft()
            if isinstance(item, replicationrequests.Proposal):
                proposals.append((item.proposal_id, item.payload))
            else:
                self._process_item(item)
        if proposals and self._failure is None:
            self._perform_effects(self._replica.propose_batch(proposals, self._clock()))

    def _process_item(self, item: typing.Any) -> None:
        assert self._replica is not None
        now = self._clock()
        match item:
            case replicationrequests.WriteFailed():
                self._stop(item.error)
            case replicationrequests.Synced():
                self._perform_effects(self._replica.report_synced(now))
                self._compact()
            case replicationrequests.Read():
                self._perform_effects(self._replica.read(item.read_id, now))
            case replicationrequests.MembershipProposal():
                proposed = (item.proposal_id, item.membership)
                self._perform_effects(self._replica.propose_membership(*proposed, now))
            case _:
                self._perform_effects(self._replica.receive(item, now))

    def _perform_effects(self, effects: list[agreement.Effect]) -> None:
        for effect in effects:
            match effect:
                case agreement.Send():
                    self._send(effect.receiver, effect.message)
                case agreement.Persist():
                    self._writer.start(effect)
                case agreement.Apply():
                    self._apply(effect)
                case agreement.Restore():
                    self.machine.restore(effect.snapshot.state)
                case agreement.ProposalDone():
                    outcome = self._outcomes.get(effect.index, effect.index)
                    self._answer_request(effect.proposal_id, outcome, effect.error)
                case agreement.ReadDone():
                    self._answer_request(
                        effect.read_id, effect.commit_index, effect.error
                    )
        self._outcomes.clear()

    def _apply(self, effect: agreement.Apply) -> None:
        for entry in effect.entries:
            if entry.kind is agreement.EntryKind.CHANGE:
                self._outcomes[entry.index] = self.machine.apply(entry.payload)

    def _compact(self) -> None:
        """Takes a snapshot once enough entries were committed since the last one."""
        assert self._replica is not None
        since = self._replica.commit_index - self._replica.snapshot_index
        if self._snapshot_every and since >= self._snapshot_every:
            state = self.machine.take_snapshot()
            self._perform_effects(self._replica.store_snapshot(state, self._clock()))

    def _answer_request(self, request_id: str, answer: typing.Any, error: str) -> None:
        found = self._refuse(error) if error else result.Success(answer)
        self._requests.answer(request_id, found)

    def _handle_loop_end(self, task: asyncio.Task[None]) -> None:
        """Stops the replica if the loop failed, for example on an unknown change."""
        error = None if task.cancelled() else task.exception()
        if error is not None:
            message = f"this replica failed: {error!r}; restart its process"
            self._stop(errors.LogUnavailableError(message, "replicate"))

    def _stop(self, error: errors.LycheegaugeError) -> None:
        """Stops acknowledging and leading; the other voters elect a new leader."""
        loguru.logger.error("replica stopped: {}", error)
        self._failure = error
        self._inbox.clear()
        self._requests.fail_all(error)
