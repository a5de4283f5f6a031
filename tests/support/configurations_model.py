"""Small specifications of plan/confirm and of the freshness lease.

Each is a transition system for minicheck, with deliberately broken variants. Sent
messages stay in the state permanently, so every loss, delay, resend and reordering
within the bounds is a path.
"""

import dataclasses
import itertools

import minicheck

# Plan and confirm. Operators plan at entry hosts that may lag arbitrarily far behind
# the log, so any earlier revision may be the base, and confirm the plan they saw.


REQUEST_IDS, CONTENTS = ("first", "second", "shared"), "AB"
MAX_REVISION = 3


@dataclasses.dataclass(frozen=True)
class ConfirmRules:
    """The log's checks; each broken variant omits one of them."""

    checks_base: bool = True
    remembers_requests: bool = True
    compares_content: bool = True
    memory_limit: int = 5
    max_sent: int = 5


def make_confirm_model(rules: ConfirmRules) -> minicheck.Protocol:
    return minicheck.Protocol(
        name="plan and confirm",
        candidate=False,
        fields=("sent", "history", "memory", "answers"),
        initial=((), (), (), ()),
        transitions=lambda state: list(list_confirm_steps(rules, state)),
        invariants={
            "each change was planned on the previous revision": lambda state: all(
                base == i for i, (_, base, _) in enumerate(state["history"])
            ),
            "a request changes the configuration at most once": lambda state: (
                len({request for request, _, _ in state["history"]})
                == len(state["history"])
            ),
            "a plan is applied at most once": lambda state: (
                len(set(state["history"])) == len(state["history"])
            ),
            "equal requests get equal responses": lambda state: (
                len({message for message, _ in state["answers"]})
                == len(state["answers"])
            ),
            "a change reported as accepted is in the history": lambda state: all(
                state["history"][outcome - 1] == message
                for message, outcome in state["answers"]
                if outcome > 0
            ),
        },
    )


def list_confirm_steps(rules, state):
    """A response is the accepted revision, 0 for a conflict, -1 for a reused id."""
    sent, history, memory, answers = state
    bases = range(min(len(history), MAX_REVISION - 1) + 1)
    for message in itertools.product(REQUEST_IDS, bases, CONTENTS):
        if message not in sent and len(sent) < rules.max_sent:
            yield f"confirm {message}", (add(sent, message), *state[1:])
    for message in sent:
        outcome, accepted, remembered = apply_confirmation(
            rules, message, history, memory
        )
        if len(accepted) <= MAX_REVISION:
            answered = add(answers, (message, outcome))
            yield f"log applies {message}", (sent, accepted, remembered, answered)


def apply_confirmation(rules, message, history, memory):
    request, base, _ = message
    first = dict(memory).get(request) if rules.remembers_requests else None
    if first is not None:
        first_message, outcome = first
        if first_message == message or not rules.compares_content:
            return outcome, history, memory
        return -1, history, memory
    if rules.checks_base and base != len(history):
        outcome, accepted = 0, history
    else:
        accepted = (*history, message)
        outcome = len(accepted)
    remembered = (*memory, (request, (message, outcome)))[-rules.memory_limit :]
    return outcome, accepted, remembered


# The freshness lease: a leader that may be deposed without knowing it, an entry host
# that sends requests to it, and an agent that sends requests to the entry host. All
# times are ages in ticks; an age of ``LEASE`` stands for every older one, so time is
# unbounded. Each party has at most one request and one response in flight. That is
# enough: only one of several responses is accepted, and sending a response does not
# change its sender, so an older response that arrives instead of a newer one is the
# same as the path on which the newer one was not sent.

LEASE, NONE = 2, -1


@dataclasses.dataclass(frozen=True)
class LeaseRules:
    """How ages are counted; each broken variant underestimates an age."""

    from_receipt: bool = False
    relays_age: bool = True
    waits_for_quorum: bool = True


@dataclasses.dataclass(frozen=True)
class Holder:
    """A lease: the applied revision, the age of its proof, messages in flight."""

    revision: int = 0
    proof_age: int = LEASE
    request_age: int = NONE
    answer: tuple[int, int] | None = None

    def advance_tick(self):
        request_age = increment_age(self.request_age)
        return dataclasses.replace(
            self, proof_age=increment_age(self.proof_age), request_age=request_age
        )

    def send_request(self):
        return dataclasses.replace(self, request_age=0, answer=None)

    def apply_response(self, rules):
        revision, age = self.answer
        age += 0 if rules.from_receipt else self.request_age
        return Holder(max(self.revision, revision), min(self.proof_age, age))


@dataclasses.dataclass(frozen=True)
class Leader:
    """The entry host's first leader; ``read_age`` is that of its pending read."""

    deposed: bool = False
    read_age: int = NONE
    acknowledged: bool = False
    confirmed_age: int = LEASE

    def advance_tick(self):
        return dataclasses.replace(
            self,
            read_age=increment_age(self.read_age),
            confirmed_age=increment_age(self.confirmed_age),
        )

    def receive_quorum(self):
        return Leader(
            self.deposed, confirmed_age=min(self.confirmed_age, self.read_age)
        )


def increment_age(age):
    return age if age == NONE else min(age + 1, LEASE)


def make_lease_model(rules: LeaseRules) -> minicheck.Protocol:
    return minicheck.Protocol(
        name="freshness lease",
        candidate=False,
        fields=("commit_age", "leader", "entry", "agent"),
        initial=(NONE, Leader(), Holder(), Holder()),
        transitions=lambda state: list(list_lease_steps(rules, *state)),
        invariants={
            "an entry host starts no stale work": lambda state: (
                not starts_stale(state["commit_age"], state["entry"])
            ),
            "an agent starts no stale work": lambda state: (
                not starts_stale(state["commit_age"], state["agent"])
            ),
        },
    )


def starts_stale(commit_age, holder):
    """Returns whether stale work may start a full lease after the commit."""
    may_start = holder.proof_age < LEASE
    return commit_age == LEASE and holder.revision == 0 and may_start


def list_lease_steps(rules, commit_age, leader, entry, agent):
    parties = (leader, entry, agent)
    older = [party.advance_tick() for party in parties]
    yield "a tick passes", (increment_age(commit_age), *older)
    if commit_age == NONE:
        yield "the leader commits", (0, *parties)
        deposed = dataclasses.replace(leader, deposed=True)
        yield "another leader commits", (0, deposed, entry, agent)
    for label, changed in list_leader_steps(rules, leader):
        yield label, (commit_age, changed, entry, agent)
    yield (
        "the entry host sends a request",
        (commit_age, leader, entry.send_request(), agent),
    )
    for proof in list_leader_proofs(commit_age, leader):
        if entry.request_age != NONE:
            answered = dataclasses.replace(entry, answer=proof)
            yield f"a leader responds {proof}", (commit_age, leader, answered, agent)
    if entry.answer is not None:
        renewed = entry.apply_response(rules)
        yield (
            "the entry host applies the response",
            (commit_age, leader, renewed, agent),
        )
    yield "the agent sends a request", (commit_age, leader, entry, agent.send_request())
    if agent.request_age != NONE and entry.proof_age < LEASE:
        proof = (entry.revision, entry.proof_age if rules.relays_age else 0)
        answered = dataclasses.replace(agent, answer=proof)
        yield f"the entry host responds {proof}", (commit_age, leader, entry, answered)
    if agent.answer is not None:
        renewed = agent.apply_response(rules)
        yield "the agent applies the response", (commit_age, leader, entry, renewed)


def list_leader_steps(rules, leader):
    yield (
        "the leader begins a read",
        dataclasses.replace(leader, read_age=0, acknowledged=False),
    )
    if leader.read_age == NONE:
        return
    # A quorum that elected another leader no longer acknowledges reads.
    if not leader.deposed or not rules.waits_for_quorum:
        acknowledged = dataclasses.replace(leader, acknowledged=True)
        yield "the quorum acknowledges the read", acknowledged
    if leader.acknowledged:
        yield "the leader receives the acknowledgements", leader.receive_quorum()


def list_leader_proofs(commit_age, leader):
    committed = commit_age != NONE
    if leader.confirmed_age < LEASE:
        yield int(committed and not leader.deposed), leader.confirmed_age
    if leader.deposed:
        yield 1, 0


def add(values, value):
    return values if value in values else tuple(sorted((*values, value)))
