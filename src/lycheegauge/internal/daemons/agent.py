"""The agent, through which all requests reach the backend server on its host.

``AgentCore`` makes all decisions. The tasks of this module pass it what they receive
and perform the effects that it returns.
"""

import asyncio
import collections
import collections.abc
import dataclasses

import loguru

from lycheegauge import errors, settings
from lycheegauge.internal.coordination import (
    admission,
    agentcore,
    agenteffects,
    followers,
    members,
    waitingroom,
)
from lycheegauge.internal.daemons import agentpulls, rankgate
from lycheegauge.internal.protocol import (
    announcements,
    changes,
    freshness,
    proposals,
    work,
)
from lycheegauge.internal.transport import (
    announcements as listener,
)
from lycheegauge.internal.transport import clock, engines, peers, services, web

ANNOUNCEMENT_TIMEOUT_S = 3.0
MAX_BUFFERED_REPLIES = 64
POLL_INTERVAL_S = 0.05
WAITING_ROOM_INTERVAL_S = 0.05
CRASH_DETECTION_TIMEOUT_S = 1.5
RETRY_AFTER_S = 0.5

ReplyQueue = asyncio.Queue[work.AgentReply]
RunId = tuple[str, int]


class AgentDaemon:
    """Owns the agent's listeners, its connection to the engine, and its core."""

    def __init__(self, part: settings.AgentSettings) -> None:
        self.part = part
        self.incarnation = clock.create_incarnation(members.format_incarnation)
        self.follower = followers.AgentFollower()
        self.core: agentcore.AgentCore | None = None
        self.peer_address = part.peer_address
        self.announce_address = part.announce_address
        self._announced: announcements.Announcement | None = None
        self._announced_at = 0.0
        self._engine: engines.Engine | None = None
        self._pool = peers.ChannelPool()
        self._streams: dict[RunId, ReplyQueue] = {}
        self._runs: dict[RunId, asyncio.Task[None]] = {}
        self._puller = agentpulls.AgentPuller(
            self.follower, self._pool, part.entry_hosts, self._build_state
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self._waiting_room = waitingroom.WaitingRoom()
        self._rank = rankgate.RankGate(self.incarnation)
        self._peer_server = peers.PeerServer(part.peer_address, [self._make_service()])
        self._listener = web.Listener(
            part.announce_address,
            listener.make_application(
                self.handle_announcement, self._rank, settings.Limits()
            ),
            settings.Limits(),
        )

    def _make_service(self) -> services.AgentService:
        return services.AgentService(
            self.run_order,
            self.settle,
            self.probe,
            self._rank.handle_offer,
            self._rank.answer_question,
            self._rank.prepare,
        )

    async def start(self) -> None:
        """Starts the listeners and begins to pull from entry hosts."""
        self.peer_address = await self._peer_server.start()
        self.announce_address = await self._listener.start()
        self._puller.start()
        self._tasks.append(asyncio.create_task(self._keep_serving_waiting_room()))
        loguru.logger.info(
            "started",
            step="start",
            address=self.peer_address,
            announce_address=self.announce_address,
        )

    async def drain(self) -> None:
        """Refuses new work and returns when all running work has finished."""
        self._stopping = True
        if self.core is not None:
            self.core.gate.stop()
        # The last replies of a run are sent after the run itself has ended.
        while self._runs or self._streams or len(self._waiting_room):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Cancels all tasks and closes all connections immediately."""
        for task in [*self._tasks, *self._runs.values()]:
            task.cancel()
        self._puller.close()
        await self._listener.close()
        await self._peer_server.close()
        self._pool.close()
        if self._engine is not None:
            self._engine.close()

    # Announcements of the backend server.

    def handle_announcement(self, announcement: announcements.Announcement) -> None:
        """Updates the agent from an announcement of the backend server."""
        now = clock.read_clock()
        if self._needs_engine(announcement):
            self._replace_engine(announcement)
        if self.core is None:
            self.core = self._make_core(announcement)
        self._rank.handle_announcement(announcement)
        self._announced = announcement
        self._announced_at = now
        self._perform(self.core.handle_boot_id(announcement.boot_id, now))
        if announcement.cold:
            self.core.limit.note_cold_report()
        for event in announcement.cache_events:
            self._puller.add_cache_event(self._make_cache_event(announcement, event))

    def _needs_engine(self, announcement: announcements.Announcement) -> bool:
        if self._announced is None:
            return True
        known = (self._announced.engine, self._announced.address)
        return known != (announcement.engine, announcement.address)

    def _replace_engine(self, announcement: announcements.Announcement) -> None:
        engine = engines.make_engine(announcement.engine, announcement.address)
        if self._engine is not None:
            self._engine.close()
        self._engine = engine

    def _make_core(
        self, announcement: announcements.Announcement
    ) -> agentcore.AgentCore:
        admission_settings = admission.AdmissionSettings(
            cold_limit=self.part.admission.cold_limit,
            full_limit=min(self.part.admission.full_limit, announcement.capacity),
            first_token_target_s=self.part.admission.first_token_target_s,
        )
        return agentcore.AgentCore(
            self.part.name, self.incarnation, announcement.boot_id, admission_settings
        )

    def _make_cache_event(
        self,
        announcement: announcements.Announcement,
        event: announcements.CacheChange,
    ) -> work.CacheEvent:
        return work.CacheEvent(
            self.part.name,
            announcement.boot_id,
            event.sequence,
            event.stored,
            event.evicted,
        )

    def _build_state(self) -> agentpulls.AgentState | None:
        """Builds the state to send with a pull; ``None`` before any announcement."""
        announced = self._announced
        if self.core is None or announced is None:
            return None
        is_missing = not self._has_backend_server(clock.read_clock())
        backend_server = freshness.BackendServer(
            name=self.part.name,
            agent_address=self.peer_address,
            availability_zone=self.part.availability_zone,
            service=announced.service,
            incarnation=self.incarnation,
            boot_id=announced.boot_id,
            capacity=announced.capacity,
            engine=announced.engine,
            leaving=announced.leaving or self._stopping or is_missing,
            group=announced.group,
            rank=announced.rank,
        )
        return agentpulls.AgentState(self.core, backend_server, self._report_load())

    def _has_backend_server(self, now: float) -> bool:
        return now - self._announced_at <= ANNOUNCEMENT_TIMEOUT_S

    # Calls of entry hosts.

    async def run_order(
        self, order: work.WorkOrder
    ) -> collections.abc.AsyncIterator[work.AgentReply]:
        """Runs an order and yields its replies up to its end or its refusal."""
        now = clock.read_clock()
        if self.core is None or not self._has_backend_server(now):
            yield self._refuse_without_server(order)
            return
        run_id = (order.request.request_id, order.attempt)
        replies: ReplyQueue = asyncio.Queue(MAX_BUFFERED_REPLIES)
        self._streams[run_id] = replies
        try:
            self._queue_or_submit_order(self.core, order, now)
            async for reply in _read_replies(replies):
                yield reply
        finally:
            if self._streams.get(run_id) is replies:
                del self._streams[run_id]
                if not self._waiting_room.remove(*run_id):
                    self._perform(self.core.cancel(*run_id))

    def _queue_or_submit_order(
        self, core: agentcore.AgentCore, order: work.WorkOrder, now: float
    ) -> None:
        """Queues an order if the backend server is full, else submits it to the core.

        An order that may not start, or that the waiting room does not admit, is
        submitted too: the core then refuses it.
        """
        allows_start = self.follower.allows_start(now) and not self._stopping
        is_full = core.limit.running >= core.limit.limit
        if (
            allows_start
            and is_full
            and self._waiting_room.add(order, core.limit.limit, now)
        ):
            return
        self._submit_order(core, order, now)

    def _submit_order(
        self, core: agentcore.AgentCore, order: work.WorkOrder, now: float
    ) -> None:
        allows_start = self.follower.lease.allows_start(now)
        self._perform(core.handle_order(order, now, allows_start))

    async def _keep_serving_waiting_room(self) -> None:
        while True:
            await asyncio.sleep(WAITING_ROOM_INTERVAL_S)
            if self.core is not None:
                now = clock.read_clock()
                self._perform(self.core.shed_excess_runs(now))
                self._serve_waiting_room(self.core, now)

    def _serve_waiting_room(self, core: agentcore.AgentCore, now: float) -> None:
        """Submits waiting orders as capacity allows, and those that may not start.

        Orders that may not start, or have waited too long, go to the core as well:
        it refuses them with the reason and records that they will never start.
        """
        if self._stopping or not self.follower.allows_start(now):
            withdrawn = self._waiting_room.dequeue_all(now)
        else:
            withdrawn = self._waiting_room.dequeue_overdue(now)
        for order in withdrawn:
            self._submit_order(core, order, now)
        while core.limit.running < core.limit.limit:
            order_to_start = self._waiting_room.dequeue(now)
            if order_to_start is None:
                return
            self._submit_order(core, order_to_start, now)

    def _refuse_without_server(self, order: work.WorkOrder) -> work.AgentReply:
        refusal = work.Refusal(
            order.request.request_id,
            order.attempt,
            work.RefusalReason.NO_BACKEND_SERVER,
            work.RunState.NOT_RUN,
            RETRY_AFTER_S,
            "admit",
            self.part.name,
        )
        return work.AgentReply(refusal=refusal)

    async def settle(self, request: work.SettlementRequest) -> work.Settlement:
        """Returns how the attempt that holds an idempotency key ended."""
        if self.core is not None:
            return self.core.settle(request)
        # Without a core this agent has never accepted an order, and an order can
        # name this incarnation only after an announcement, which creates the core.
        status = work.SettlementStatus.OTHER_INCARNATION
        return work.Settlement(request.key, request.attempt, status)

    async def probe(self, _: proposals.StatusRequest) -> work.LoadReport:
        """Returns the current load."""
        return self._report_load()

    def _report_load(self) -> work.LoadReport:
        if self.core is None:
            return work.LoadReport(self.part.name, self.incarnation, "", 0, 0, 0, 0, 0)
        # The agent's own count of admitted requests is newer than the engine's figures.
        return self._add_waiting_orders(self.core.build_load_report(0.0))

    def _add_waiting_orders(self, report: work.LoadReport) -> work.LoadReport:
        return dataclasses.replace(
            report, waiting=report.waiting + len(self._waiting_room)
        )

    # Effects of the core.

    def _perform(self, effects: agenteffects.Effects) -> None:
        for effect in effects:
            if isinstance(effect, agenteffects.StartRun):
                self._start_run(effect.order)
            elif isinstance(effect, agenteffects.CancelRun):
                self._cancel_run((effect.request_id, effect.attempt))
            elif isinstance(effect, agenteffects.Reply):
                self._send_reply(effect)
            elif isinstance(effect, agenteffects.ResubmitOrder):
                self._resubmit_order(effect.order)
            elif isinstance(effect, agenteffects.SendClearance):
                self._puller.add_clearance(
                    changes.ClearSuspect(effect.fingerprint, 0.0, effect.boots)
                )

    def _resubmit_order(self, order: work.WorkOrder) -> None:
        assert self.core is not None
        self._submit_order(self.core, order, clock.read_clock())

    def _send_reply(self, effect: agenteffects.Reply) -> None:
        replies = self._streams.get((effect.request_id, effect.attempt))
        if replies is None:
            return
        reply = effect.reply
        if reply.load is not None:
            reply = dataclasses.replace(
                reply, load=self._add_waiting_orders(reply.load)
            )
        try:
            replies.put_nowait(reply)
        except asyncio.QueueFull:
            # Back-pressure is applied before the core receives a chunk, so a full
            # queue means that nobody reads it; the reader sees a broken stream.
            loguru.logger.warning(
                "dropped a reply: its reader's queue is full",
                step="run",
                peer=effect.request_id,
            )

    def _start_run(self, order: work.WorkOrder) -> None:
        run_id = (order.request.request_id, order.attempt)
        loguru.logger.debug(
            f"attempt {order.attempt}",
            request_id=order.request.request_id,
            step="start run",
            peer=order.entry_host,
        )
        task = asyncio.create_task(self._run_on_engine(order))
        self._runs[run_id] = task
        task.add_done_callback(lambda _: self._runs.pop(run_id, None))

    def _cancel_run(self, run_id: RunId) -> None:
        task = self._runs.pop(run_id, None)
        if task is not None:
            task.cancel()
        if self._engine is not None:
            asyncio.ensure_future(self._engine.cancel(run_id[0]))

    async def _run_on_engine(self, order: work.WorkOrder) -> None:
        assert self._engine is not None and self.core is not None
        request_id, attempt = order.request.request_id, order.attempt
        is_complete, reached = False, True
        try:
            async for reply in self._engine.run(order):
                await self._wait_for_reader((request_id, attempt))
                now = clock.read_clock()
                if reply.chunk is not None:
                    self._perform(self.core.handle_engine_chunk(reply.chunk, now))
                is_complete = is_complete or reply.end is not None
        except errors.BackendServerFailedError as error:
            reached = error.reached
            loguru.logger.warning(str(error), step="run", peer=request_id)
        now = clock.read_clock()
        if is_complete:
            self._perform(self.core.handle_engine_end(request_id, attempt, now))
        else:
            if reached:
                await self._await_announcement(self.core)
            effects = self.core.handle_engine_failure(
                request_id, attempt, reached, clock.read_clock()
            )
            self._perform(effects)
        self._serve_waiting_room(self.core, clock.read_clock())

    async def _await_announcement(self, core: agentcore.AgentCore) -> None:
        """Waits for the next announcement, which shows whether the server crashed.

        A changed boot id in it means a crash. Without an announcement in time the
        server counts as crashed. A run must not be reported as failed before this
        is known: a request that crashes servers was otherwise retried elsewhere
        before the new boot id arrived, and crashed eight servers.
        """
        failed_at = clock.read_clock()
        while self._announced_at <= failed_at:
            if clock.read_clock() - failed_at > CRASH_DETECTION_TIMEOUT_S:
                self._perform(core.handle_crash(clock.read_clock()))
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_for_reader(self, run_id: RunId) -> None:
        while True:
            replies = self._streams.get(run_id)
            if replies is None or not replies.full():
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def _read_replies(
    replies: ReplyQueue,
) -> collections.abc.AsyncIterator[work.AgentReply]:
    while True:
        reply = await replies.get()
        yield reply
        if reply.end is not None or reply.refusal is not None:
            return
