"""Model of request cores, agents, engines and the ledger on a faulty network.

Messages are delivered in any order, except that the order within a connection
is kept. A limited number of faults may happen between any two steps. All
decisions are made by the objects under test, none by this module.
"""

import dataclasses

from lycheegauge.internal.coordination import (
    admission,
    agentcore,
    agenteffects,
    attemptmessages,
    attempts,
)
from lycheegauge.internal.protocol import changes, freshness, work
from lycheegauge.internal.state import claims

KEY = "spejlhus/slot-7"
SERVERS = ("one", "two")
MAX_CHOICES = 2
SETTINGS = admission.AdmissionSettings(cold_limit=4, full_limit=4)


@dataclasses.dataclass(frozen=True)
class Step:
    """A message in flight to the log, an agent, an engine or a request core."""

    kind: str
    core: str = ""
    target: str = ""
    content: object = None
    connection: tuple = ()

    def __str__(self):
        detail = getattr(self.content, "status", None) or type(self.content).__name__
        return f"{self.kind} {self.core} {self.target} {detail}"


class RequestModel:
    def __init__(
        self,
        agent_class=agentcore.AgentCore,
        ledger_class=claims.ClaimLedger,
        faults=1,
        resends=1,
        is_new_key=False,
    ):
        self.is_new_key = is_new_key
        self.agent_class = agent_class
        self.ledger = ledger_class(max_claims=8)
        self.faults = faults
        self.starts = 0
        self.agents = {name: self.build_agent(name, 1) for name in SERVERS}
        self.waiting = [f"host-{number}" for number in range(resends + 1)]
        self.cores, self.choices = {}, {}
        self.steps: list[Step] = []
        self.open = {}
        self.answers: list[bytes] = []
        self.log_time = 0.0
        self.arrived_at, self.closed_at = {}, {}
        self.runs: list[str] = []
        self.told: dict[str, object] = {}
        self.problem = ""

    def build_agent(self, name, number):
        return self.agent_class(name, f"{name}-{number}", f"boot-{number}", SETTINGS)

    # Enabled actions.

    def list_actions(self):
        actions = [("step", step) for step in self.list_ready()]
        if self.waiting:
            actions.append(("start", self.waiting[0]))
        return actions + (self.list_faults() if self.faults else [])

    def list_ready(self):
        ready, busy = [], set()
        for step in self.steps:
            if step.connection and step.connection in busy:
                continue
            busy.add(step.connection)
            if step not in ready:
                ready.append(step)
        return ready

    def list_faults(self):
        actions = []
        for core in self.live_cores():
            actions += [("crash entry host", core), ("deadline", core)]
        for connection in self.open:
            actions.append(("cut connection", connection))
        for name in self.agents:
            actions += [("crash agent", name), ("crash backend server", name)]
        for step in self.list_ready():
            if step.kind in ("claim", "record") and step.core:
                actions += [("lose change", step), ("delay change", step)]
                actions.append(("lose outcome", step))
            if step.kind == "ask":
                actions.append(("lose question", step))
            if step.kind == "engine":
                actions.append(("refuse at engine", step))
        return actions

    def live_cores(self):
        return [name for name, core in self.cores.items() if not core.done]

    # Transitions.

    def act(self, action):
        kind, subject = action
        if kind == "step":
            self.steps.remove(subject)
            getattr(self, "do_" + subject.kind)(subject)
        elif kind == "start":
            self.start(self.waiting.pop(0))
        else:
            self.faults -= 1
            getattr(self, "fail_" + kind.replace(" ", "_"))(subject)

    def start(self, name):
        request = work.Request(
            f"{name}-request", "spejlhus", "booking", b"book", "print", 30.0,
            repeatable=False, idempotency_key=KEY,
        )  # fmt: skip
        self.arrived_at[name] = self.log_time + 0.5
        self.cores[name] = attempts.RequestCore(
            request, name, 0.0, self.arrived_at[name], self.is_new_key
        )
        self.choices[name] = 0
        self.perform(name, self.cores[name].start(0.0))

    def handle_event(self, core, event):
        if core in self.cores:
            self.perform(core, self.cores[core].handle(event, 0.0))

    def perform(self, core, effects):
        for effect in effects:
            self.perform_one(core, effect)

    def perform_one(self, core, effect):
        match effect:
            case attemptmessages.ChooseBackendServer():
                self.choose(core, effect.excluded)
            case attemptmessages.CommitClaim(change):
                self.steps.append(Step("claim", core, "", change))
            case attemptmessages.RecordSettlement(change):
                self.steps.append(Step("record", core, "", change))
            case attemptmessages.SendOrder(server, order):
                connection = (core, order.attempt)
                self.open[connection] = server.name
                self.steps.append(Step("order", core, server.name, order))
            case attemptmessages.QuerySettlement(agent, request):
                self.steps.append(Step("ask", core, agent, request))
            case attemptmessages.SetTimer(timer) if timer != "deadline":
                self.steps.append(Step("timer", core, "", timer))
            case attemptmessages.ForwardChunk(chunk):
                self.check_answer(core, chunk.body)
            case attemptmessages.Refuse(refusal):
                self.check_refusal(core, refusal)

    def choose(self, core, excluded):
        self.choices[core] += 1
        left = [name for name in SERVERS if name not in excluded]
        chosen = attemptmessages.BackendServerChosen(None)
        if left and self.choices[core] <= MAX_CHOICES:
            agent = self.agents[left[0]]
            server = freshness.BackendServer(
                agent.name, "", "", "booking", agent.incarnation, agent.boot_id, 4, ""
            )
            chosen = attemptmessages.BackendServerChosen(server)
        self.handle_event(core, chosen)

    def commit(self, step):
        self.log_time += 1.0
        change = dataclasses.replace(step.content, log_time_s=self.log_time)
        outcome = self.ledger.apply(change)
        if outcome.status in (changes.ClaimStatus.NOT_RUN, changes.ClaimStatus.FULL):
            self.closed_at[step.core] = self.log_time
        return outcome

    def do_claim(self, step):
        self.handle_event(step.core, attemptmessages.ClaimCommitted(self.commit(step)))

    def do_record(self, step):
        self.handle_event(
            step.core, attemptmessages.SettlementRecorded(self.commit(step))
        )

    def do_order(self, step):
        effects = self.agents[step.target].handle_order(step.content, 0.0, True)
        self.perform_agent(step.target, step.core, effects)

    def perform_agent(self, agent, core, effects):
        replies = {}
        for effect in effects:
            match effect:
                case agenteffects.StartRun(order):
                    self.steps.append(Step("engine", core, agent, order))
                case agenteffects.Reply(request_id, attempt, reply):
                    reply = dataclasses.replace(reply, load=None)
                    connection = (request_id.removesuffix("-request"), attempt)
                    replies.setdefault(connection, []).append(reply)
        for connection, together in replies.items():
            if connection in self.open:
                step = Step("reply", connection[0], "", tuple(together), connection)
                self.steps.append(step)

    def do_reply(self, step):
        for reply in step.content:
            self.handle_event(
                step.core, attemptmessages.ReplyReceived(step.connection[1], reply)
            )

    def do_engine(self, step):
        order = step.content
        answer = f"answer {len(self.answers)} of {order.request.request_id}".encode()
        self.answers.append(answer)
        runner = order.request.request_id.removesuffix("-request")
        self.runs.append(runner)
        if len(self.runs) > 1:
            self.problem = "the work ran twice"
        for core, told in self.told.items():
            if not isinstance(told, bytes):
                self.check_not_run(core, told)
        content = work.AnswerChunk(
            order.request.request_id, order.attempt, 0, body=answer
        )
        self.steps.append(Step("output", step.core, step.target, content))

    def do_output(self, step):
        agent, chunk = self.agents[step.target], step.content
        effects = agent.handle_engine_chunk(chunk, 0.0)
        effects += agent.handle_engine_end(chunk.request_id, chunk.attempt, 0.0)
        self.perform_agent(step.target, step.core, effects)

    def do_ask(self, step):
        settlement = self.agents[step.target].settle(step.content)
        self.handle_event(step.core, attemptmessages.SettlementReceived(settlement))

    def do_timer(self, step):
        self.handle_event(step.core, attemptmessages.TimerFired(step.content))

    def do_lost(self, step):
        self.handle_event(step.core, attemptmessages.ConnectionLost(step.content, True))

    # Faults.

    def fail_crash_entry_host(self, core):
        del self.cores[core]
        gone = ("timer", "reply", "ask", "lost")
        self.steps = [
            step for step in self.steps if step.core != core or step.kind not in gone
        ]
        self.open = {key: name for key, name in self.open.items() if key[0] != core}

    def fail_deadline(self, core):
        deadline = attemptmessages.Timer.DEADLINE
        self.handle_event(core, attemptmessages.TimerFired(deadline))

    def fail_cut_connection(self, connection):
        core, attempt = connection
        del self.open[connection]
        self.steps = [step for step in self.steps if step.connection != connection]
        # An order in flight may still arrive, as one side notices the cut first.
        # The order being lost for good is covered by another interleaving.
        self.steps.append(Step("lost", core, "", attempt))

    def fail_crash_agent(self, name):
        number = int(self.agents[name].incarnation.rpartition("-")[2])
        self.agents[name] = self.build_agent(name, number + 1)
        self.steps = [
            step for step in self.steps if step.target != name or step.kind != "output"
        ]
        for connection in [key for key, target in self.open.items() if target == name]:
            self.fail_cut_connection(connection)

    def fail_crash_backend_server(self, name):
        self.steps = [
            step
            for step in self.steps
            if step.target != name or step.kind not in ("engine", "output")
        ]
        boot_id = self.agents[name].boot_id + "x"
        self.perform_agent(name, "", self.agents[name].handle_boot_id(boot_id, 0.0))

    def fail_lose_change(self, step):
        self.steps.remove(step)
        self.handle_event(step.core, attemptmessages.LogUnavailable())

    def fail_delay_change(self, step):
        self.steps.remove(step)
        self.steps.append(dataclasses.replace(step, core=""))
        self.handle_event(step.core, attemptmessages.LogUnavailable())

    def fail_lose_outcome(self, step):
        self.steps.remove(step)
        self.commit(step)
        self.handle_event(step.core, attemptmessages.LogUnavailable())

    def fail_lose_question(self, step):
        self.steps.remove(step)
        self.handle_event(step.core, attemptmessages.AgentUnreachable())

    def fail_refuse_at_engine(self, step):
        self.steps.remove(step)
        request = step.content.request
        effects = self.agents[step.target].handle_engine_failure(
            request.request_id, step.content.attempt, False, 0.0
        )
        self.perform_agent(step.target, step.core, effects)

    # Invariants.

    def check_answer(self, core, body):
        self.told[core] = body
        if self.answers[:1] != [body]:
            self.problem = f"{core} was given {body!r}, not the first run's answer"

    def check_refusal(self, core, refusal):
        self.told[core] = refusal
        self.check_not_run(core, refusal)

    def check_not_run(self, core, refusal):
        """Checks that no request that arrived before "not run" was settled has run."""
        if refusal.run_state is not work.RunState.NOT_RUN:
            return
        closed_at = self.closed_at.get(core, self.log_time)
        for runner in self.runs:
            if runner == core or self.arrived_at[runner] < closed_at:
                self.problem = f"{core} was told: not run, but {runner} ran"

    def check_rest(self):
        """Checks that every live core is done when no step is left."""
        if not self.steps and not self.waiting and self.live_cores():
            self.problem = f"{self.live_cores()} are not done, but no step is left"
