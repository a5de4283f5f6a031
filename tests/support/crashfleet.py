"""Simulates entry hosts, agents and fake backend servers on a virtual clock.

The simulation covers only crashes: runs that complete or crash their server,
crash reports that the log commits late, and entry hosts that learn of the
quarantine late.
"""

import heapq
import itertools

from lycheegauge.internal.coordination import (
    admission,
    agentcore,
    agenteffects,
    attemptmessages,
    attempts,
    crashes,
)
from lycheegauge.internal.protocol import changes, freshness, work
from lycheegauge.internal.state import claims, quarantine

LEASE_S = 2.5
RUN_S = 0.6
CRASH_DELAY_S = 0.05
NOTIFICATION_DELAY_S = 0.001
CALLER_DELAY_S = 0.002
REBOOT_S = 0.5
SETTINGS = admission.AdmissionSettings(cold_limit=8, full_limit=8)


class Host:
    def __init__(self, name):
        self.name = name
        self.view = crashes.QuarantineView()


class Fleet:
    """Runs requests until the event queue is empty or the time is over.

    Args:
        source: The random source of delays and choices.
        servers: The number of backend servers.
        hosts: The number of entry hosts.
        commit_s: The longest time that the log needs to commit a change.
    """

    def __init__(self, source, servers=6, hosts=9, commit_s=0.5):
        self.source, self.commit_s = source, commit_s
        self.now, self.queue, self.counter = 0.0, [], itertools.count()
        self.log, self.ledger = quarantine.QuarantineList(), claims.ClaimLedger()
        self.recorded, self.reported = {}, set()
        self.agents = {
            f"s{number}": agentcore.AgentCore(f"s{number}", "1", "boot-0", SETTINGS)
            for number in range(servers)
        }
        self.down = set()
        self.crashes = 0
        self.hosts = [Host(f"h{number}") for number in range(hosts)]
        self.streams, self.outcomes = {}, {}
        for host in self.hosts:
            self.schedule(source.uniform(0, LEASE_S), lambda host=host: self.pull(host))

    def schedule(self, delay_s, action):
        heapq.heappush(self.queue, (self.now + delay_s, next(self.counter), action))

    def run(self, until_s):
        while self.queue and self.queue[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self.queue)
            action()

    def pull(self, host):
        host.view.update(self.log.current)
        self.schedule(self.source.uniform(0.1, LEASE_S), lambda: self.pull(host))

    # Requests.

    def send(self, request_id, fingerprint, on_outcome=None, repeatable=True):
        host = self.source.choice(self.hosts)
        request = work.Request(
            request_id, "o", "assistant", b"", fingerprint, 60.0,
            repeatable=repeatable, idempotency_key=f"o/{request_id}",
        )  # fmt: skip
        stream = Stream(self, host, request, on_outcome)
        self.streams[request_id] = stream
        stream.perform(stream.core.start(self.now))

    def send_repeatedly(self, fingerprint, times, repeatable=True):
        """Sends a request, and resends it through any host when it is refused."""
        name = f"{fingerprint}-{times}"

        def resend(outcome):
            if times > 1:
                self.send_repeatedly(fingerprint, times - 1, repeatable)

        # Resent immediately, to reach hosts that do not know of the crash yet.
        # The refusal and the resend each take a few milliseconds to the caller.
        delay_s = 2 * CALLER_DELAY_S + self.source.uniform(0, 0.02)
        self.schedule(delay_s, lambda: self.send(name, fingerprint, resend, repeatable))

    # Agents and their backend servers.

    def perform(self, agent, effects):
        for effect in effects:
            match effect:
                case agenteffects.StartRun(order):
                    self.start_engine(agent, order)
                case agenteffects.Reply(request_id, attempt, reply):
                    event = attemptmessages.ReplyReceived(attempt, reply)
                    self.schedule(
                        0.001, lambda r=request_id, e=event: self.handle_event(r, e)
                    )
                case agenteffects.ResubmitOrder(order):
                    self.perform(agent, agent.handle_order(order, self.now, True))
                case agenteffects.SendCrashReport(report):
                    change = changes.ReportCrash(
                        report.backend_server, report.boot_id, report.fingerprints,
                        1.0, report.alone,
                    )  # fmt: skip
                    self.commit(change)
                case agenteffects.SendClearance(fingerprint, boots):
                    self.commit(changes.ClearSuspect(fingerprint, 1.0, boots))

    def handle_event(self, request_id, event):
        self.streams[request_id].handle_event(event)

    def start_engine(self, agent, order):
        boot_id = agent.boot_id
        if agent.name in self.down:
            failed = agent.handle_engine_failure(
                order.request.request_id, order.attempt, False, self.now
            )
            self.perform(agent, failed)
        elif order.request.fingerprint == "poison":
            self.schedule(CRASH_DELAY_S, lambda: self.crash_server(agent, boot_id))
        else:
            delay_s = RUN_S * self.source.uniform(0.5, 1.5)
            self.schedule(delay_s, lambda: self.finish(agent, boot_id, order))

    def finish(self, agent, boot_id, order):
        if agent.boot_id != boot_id or agent.name in self.down:
            return
        request_id = order.request.request_id
        chunk = work.AnswerChunk(request_id, order.attempt, 0, 0, ("token",))
        self.perform(agent, agent.handle_engine_chunk(chunk, self.now))
        ended = agent.handle_engine_end(request_id, order.attempt, self.now)
        self.perform(agent, ended)

    def crash_server(self, agent, boot_id):
        if agent.boot_id != boot_id or agent.name in self.down:
            return
        self.crashes += 1
        self.down.add(agent.name)
        self.perform(agent, agent.handle_crash(self.now))
        self.schedule(REBOOT_S, lambda: self.reboot(agent))

    def reboot(self, agent):
        self.down.discard(agent.name)
        boot_id = f"boot-{next(self.counter)}"
        self.perform(agent, agent.handle_boot_id(boot_id, self.now))

    def notify(self, report):
        for host in self.hosts:
            delay_s = NOTIFICATION_DELAY_S * self.source.uniform(0.5, 1.5)
            self.schedule(
                delay_s, lambda host=host: host.view.add_notification(report, self.now)
            )

    # The log.

    def commit(self, change):
        delay_s = self.source.uniform(0.005, self.commit_s)
        self.schedule(delay_s, lambda: self.apply(change))

    def apply(self, change):
        self.log.apply(change)
        if isinstance(change, changes.ReportCrash):
            crash = (change.backend_server, change.boot_id)
            self.recorded[crash] = True
            self.reported.update(change.fingerprints)
            for stream in list(self.streams.values()):
                stream.handle_crash_recorded(crash)


class Stream:
    """One request core and its entry host."""

    def __init__(self, fleet, host, request, on_outcome):
        self.fleet, self.host, self.request = fleet, host, request
        self.core = attempts.RequestCore(request, host.name)
        self.on_outcome = on_outcome
        self.timers = {}
        self.awaited = set()

    def handle_event(self, event):
        self.perform(self.core.handle(event, self.fleet.now))

    def perform(self, effects):
        for effect in effects:
            self.perform_one(effect)

    def perform_one(self, effect):
        schedule = self.fleet.schedule
        match effect:
            case attemptmessages.ChooseBackendServer():
                schedule(0.001, lambda: self.choose(effect))
            case attemptmessages.SendOrder(server, order):
                schedule(0.001, lambda: self.deliver(server, order))
            case attemptmessages.CommitClaim(change):
                outcome = self.fleet.ledger.apply(change)
                answered = attemptmessages.ClaimCommitted(outcome)
                schedule(0.005, lambda: self.handle_event(answered))
            case attemptmessages.RecordSettlement(change):
                recorded = attemptmessages.SettlementRecorded(
                    self.fleet.ledger.apply(change)
                )
                schedule(0.005, lambda: self.handle_event(recorded))
            case attemptmessages.SetTimer(timer, delay_s):
                self.set_timer(timer, delay_s)
            case attemptmessages.NotifyCrash(report):
                self.fleet.notify(report)
            case attemptmessages.AwaitCrashReport(server, boot_id):
                self.await_crash((server, boot_id))
            case attemptmessages.EndAnswer() | attemptmessages.Refuse():
                self.fleet.outcomes[self.request.request_id] = effect
                if self.on_outcome:
                    self.on_outcome(effect)

    def await_crash(self, crash):
        self.awaited.add(crash)
        if crash in self.fleet.recorded:
            self.fleet.schedule(0.0, lambda: self.handle_crash_recorded(crash))

    def set_timer(self, timer, delay_s):
        number = self.timers[timer] = next(self.fleet.counter)

        def fire():
            if self.timers[timer] == number:
                self.handle_event(attemptmessages.TimerFired(timer))

        self.fleet.schedule(delay_s, fire)

    def handle_crash_recorded(self, crash):
        if crash in self.awaited:
            self.awaited.remove(crash)
            self.host.view.update(self.fleet.log.current)
            verdict = self.host.view.get_verdict(self.request.fingerprint)
            self.handle_event(attemptmessages.CrashRecorded(*crash, verdict))

    def choose(self, effect):
        verdict = self.host.view.get_verdict(self.request.fingerprint)
        if verdict is crashes.Verdict.REFUSED:
            reason = work.RefusalReason.QUARANTINED
            return self.handle_event(
                attemptmessages.BackendServerChosen(None, reason=reason)
            )
        names = [name for name in self.fleet.agents if name not in self.fleet.down]
        suspect = effect.suspect or verdict is crashes.Verdict.SUSPECT
        known = self.host.view.list_boots(self.request.fingerprint)
        if suspect:
            names = list(crashes.choose_suspect_servers("assistant", names))
        else:
            left = [name for name in names if name not in effect.excluded]
            names = left or names
        agent = self.fleet.agents[self.fleet.source.choice(names)]
        server = freshness.BackendServer(
            agent.name, "", "", "assistant", "1", agent.boot_id, 8, "fake"
        )
        return self.handle_event(
            attemptmessages.BackendServerChosen(
                server, suspect=suspect, known_crashes=tuple(sorted(known))
            )
        )

    def deliver(self, server, order):
        agent = self.fleet.agents[server.name]
        self.fleet.perform(agent, agent.handle_order(order, self.fleet.now, True))
