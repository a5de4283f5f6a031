"""A small specification of claims and settlements for the model checker.

Two entry hosts have copies of one request. Host 0 chooses agent 0 and host 1
agent 1; the ledger names the holder of each attempt. Host 1's copy may arrive
at any time. One agent may restart, entry hosts may crash, and connections may
break.
"""

import collections

import minicheck

HOSTS = (0, 1)
MAX_ATTEMPT = 2
UNSEEN, NEVER, STARTED, ANSWERED = range(4)
FREE, HELD, SETTLED_ANSWERED, NOT_RUN, UNKNOWN = range(5)
(ABSENT, NEW, GRANTED, SENT, SETTLING, PROVEN, TOLD_NOT_RUN, TOLD_ANSWER,
 TOLD_UNKNOWN, DEAD) = range(10)  # fmt: skip

# Marks are indexed by agent and attempt, orders in flight by attempt. An order is
# encoded as 1 + 2 * agent + the incarnation that it names; 0 means no order.
FIELDS = (
    "status", "attempt", "holder", "holder_incarnation", "closed",
    "incarnation_0", "incarnation_1", "mark_0_1", "mark_0_2", "mark_1_1", "mark_1_2",
    "order_1", "order_2", "runs", "phase_0", "phase_1", "try_0", "try_1",
    "named_0", "named_1", "late",
)  # fmt: skip
State = collections.namedtuple("State", FIELDS)
INITIAL = State(*[0] * len(FIELDS))._replace(phase_0=NEW, phase_1=ABSENT)


def mark(state, agent, attempt):
    return getattr(state, f"mark_{agent}_{attempt}")


class Claims:
    """The transitions; an argument that is false omits a part of the protocol."""

    def __init__(self, claim_first=True, agent_marks_never=True, closes=True):
        self.claim_first = claim_first
        self.agent_marks_never = agent_marks_never
        self.closes = closes

    def list_transitions(self, fields):
        state = State(*fields)
        found = list(self.move_agents(state))
        for host in HOSTS:
            found += self.move_host(state, host)
        return [(name, tuple(after)) for name, after in found]

    def move_host(self, state, host):
        phase, attempt = getattr(state, f"phase_{host}"), getattr(state, f"try_{host}")

        def go(to, **other):
            return state._replace(**{f"phase_{host}": to, **other})

        if phase == ABSENT:
            late = state.phase_0 == TOLD_NOT_RUN
            yield "arrive", go(NEW, late=int(late))
        if phase in (NEW, GRANTED, SENT, SETTLING, PROVEN):
            yield "die", go(DEAD)
        if phase == NEW:
            yield from self.claim(state, host, go)
        if phase == GRANTED:
            order = 1 + 2 * host + getattr(state, f"named_{host}")
            yield "send", go(SENT, **{f"order_{attempt}": order})
        if phase == SENT:
            yield "lose connection", go(SETTLING)
        if phase in (SENT, SETTLING):
            yield from self.settle(state, phase, attempt, go)
        if phase == PROVEN:
            current = state.attempt == attempt and state.status == HELD
            status = NOT_RUN if current else state.status
            yield "record not run", go(NEW, status=status)

    def claim(self, state, host, go):
        open_ = state.status in (FREE, NOT_RUN)
        # Host 1 may arrive after host 0 closed the key, but not the reverse.
        closed = self.closes and state.closed and not (host == 1 and state.late)
        if open_:
            yield "tell not run", go(TOLD_NOT_RUN, closed=1)
        if open_ and not closed and state.attempt < MAX_ATTEMPT:
            attempt = state.attempt + 1
            granted = go(
                GRANTED, status=HELD, attempt=attempt, holder=host,
                holder_incarnation=getattr(state, f"incarnation_{host}"),
                **{
                    f"try_{host}": attempt,
                    f"named_{host}": getattr(state, f"incarnation_{host}"),
                },
            )  # fmt: skip
            yield "claim", granted
        if not self.claim_first and state.runs == 0 and state.attempt == 0:
            early = {f"order_{host + 1}": 1 + 2 * host, f"try_{host}": host + 1}
            yield "send before the claim", go(SENT, **early)
        if state.status == HELD:
            yield "find holder", go(SETTLING, **{f"try_{host}": state.attempt})
        if state.status == SETTLED_ANSWERED:
            yield "tell answer", go(TOLD_ANSWER)
        if state.status == UNKNOWN:
            yield "tell unknown", go(TOLD_UNKNOWN)

    def settle(self, state, phase, attempt, go):
        if state.attempt != attempt:
            yield "follow the ledger", go(NEW)
            return
        agent = state.holder
        if getattr(state, f"incarnation_{agent}") != state.holder_incarnation:
            status = UNKNOWN if state.status == HELD else state.status
            yield "settle with successor", go(TOLD_UNKNOWN, status=status)
            return
        found = mark(state, agent, attempt)
        if found == UNSEEN and phase == SETTLING:
            kept = {f"mark_{agent}_{attempt}": NEVER} if self.agent_marks_never else {}
            yield "settle as never started", go(PROVEN, **kept)
        if found == NEVER:
            yield "learn never started", go(PROVEN)
        if found == ANSWERED:
            yield "learn answer", go(TOLD_ANSWER, status=SETTLED_ANSWERED)

    def move_agents(self, state):
        for attempt in range(1, MAX_ATTEMPT + 1):
            if getattr(state, f"order_{attempt}"):
                yield from self.deliver(state, attempt)
        for agent in HOSTS:
            for attempt in range(1, MAX_ATTEMPT + 1):
                if mark(state, agent, attempt) == STARTED:
                    ended = {f"mark_{agent}_{attempt}": ANSWERED}
                    yield "finish", state._replace(**ended)
            if state.incarnation_0 + state.incarnation_1 == 0:
                restarted = {f"incarnation_{agent}": 1, f"mark_{agent}_1": UNSEEN,
                             f"mark_{agent}_2": UNSEEN}  # fmt: skip
                yield "restart agent", state._replace(**restarted)

    def deliver(self, state, attempt):
        agent, named = divmod(getattr(state, f"order_{attempt}") - 1, 2)
        gone = state._replace(**{f"order_{attempt}": 0})
        yield "lose order", gone
        same = getattr(state, f"incarnation_{agent}") == named
        if same and mark(state, agent, attempt) == UNSEEN:
            started = {f"mark_{agent}_{attempt}": STARTED, "runs": state.runs + 1}
            yield "start", gone._replace(**started)


def build(invariants=None, **parts):
    """Builds the protocol, optionally with a part of it omitted."""
    return minicheck.Protocol(
        name="claims", candidate=False, fields=FIELDS, initial=tuple(INITIAL),
        transitions=Claims(**parts).list_transitions,
        invariants=invariants or INVARIANTS,
    )  # fmt: skip


INVARIANTS = {
    "at most one run": lambda fields: fields["runs"] <= 1,
    "not run is true for host 0": lambda fields: (
        fields["phase_0"] != TOLD_NOT_RUN or not fields["runs"] or fields["late"] == 1
    ),
    "not run is true for host 1": lambda fields: (
        fields["phase_1"] != TOLD_NOT_RUN or not fields["runs"]
    ),
    "an answer has a run": lambda fields: (
        TOLD_ANSWER not in (fields["phase_0"], fields["phase_1"]) or fields["runs"] == 1
    ),
}
