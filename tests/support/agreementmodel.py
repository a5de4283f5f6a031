"""A small model of the log, elections and single-voter membership changes.

A step is one exchange: a vote requested and granted, an entry sent and stored, a
sync, a commit based on what is on the disks, or a crash that loses unsynced data.
The number of terms, the log length, the crashes and the membership changes are
bounded.
"""

import dataclasses
import itertools
import typing

import minicheck

MAX_STATES = 400_000


class Entry(typing.NamedTuple):
    """A log entry; ``members`` is a bit mask, or 0 if it is not a membership."""

    term: int
    members: int = 0


class Node(typing.NamedTuple):
    """A replica; ``votes`` is a bit mask of the replicas that voted for it."""

    term: int = 0
    voted_for: int = -1
    votes: int = 0
    is_leader: bool = False
    log: tuple = ()
    disk: tuple = ()


class State(typing.NamedTuple):
    """All replicas and the history that the invariants need.

    ``committed`` is the reference log; ``forked`` tells that a commit contradicted
    it; ``leaders`` holds a bit mask of the leaders of each term.
    """

    nodes: tuple
    committed: tuple
    forked: bool
    leaders: tuple
    crashes: int
    proposals: int
    changes: int


@dataclasses.dataclass(frozen=True)
class Bounds:
    """The bounds, and switches that disable safety rules of the protocol.

    With ``is_elected``, node 0 leads term 1 and has committed its first entry.
    """

    members: int
    nodes: int = 3
    terms: int = 2
    crashes: int = 1
    proposals: int = 1
    changes: int = 0
    length: int = 9
    is_elected: bool = False
    checks_vote: bool = True
    compares_logs: bool = True
    syncs_before_ack: bool = True
    needs_own_term: bool = True
    keeps_vote: bool = True


def find_members(bounds, log):
    return next(
        (item.members for item in reversed(log) if item.members), bounds.members
    )


def has_quorum(mask, members):
    return 2 * (mask & members).bit_count() > members.bit_count()


def count_common(left, right):
    pairs = itertools.takewhile(
        lambda pair: pair[0] == pair[1], zip(left, right, strict=False)
    )
    return sum(1 for _ in pairs)


class Specification:
    def __init__(self, bounds):
        self.bounds = bounds

    def check(self):
        protocol = minicheck.Protocol(
            name="agreement",
            candidate=False,
            fields=State._fields,
            initial=self.make_initial(),
            transitions=self.list_steps,
            invariants={
                "committed entries never change": lambda state: not state["forked"],
                "one leader a term": lambda state: all(
                    mask.bit_count() <= 1 for mask in state["leaders"]
                ),
            },
        )
        return minicheck.check_safety(protocol, max_states=MAX_STATES)

    def make_initial(self):
        bounds = self.bounds
        log = (Entry(1),) if bounds.is_elected else ()
        term = len(log)
        node = Node(term, 0 if log else -1, 0, False, log, log)
        leader = node._replace(is_leader=bounds.is_elected)
        nodes = (leader, *(node for _ in range(bounds.nodes - 1)))
        leaders = [0] * (bounds.terms + 1)
        leaders[term] = term
        limits = (bounds.crashes, bounds.proposals, bounds.changes)
        return State(nodes, log, False, tuple(leaders), *limits)

    def list_steps(self, state):
        if state.forked:
            return
        for i, node in enumerate(state.nodes):
            yield from self.list_own_steps(state, i, node)
            for j in range(len(state.nodes)):
                if j != i and node.is_leader:
                    yield from self.replicate(state, i, j)
                elif j != i and node.votes:
                    yield from self.request_vote(state, i, j)

    def list_own_steps(self, state, i, node):
        if node.disk != node.log:
            yield f"sync {i}", replace_node(state, i, node._replace(disk=node.log))
        if state.crashes:
            yield f"crash {i}", self.crash(state, i, node)
        if node.is_leader:
            yield from self.list_leader_steps(state, i, node)
        elif node.term < self.bounds.terms and len(node.log) < self.bounds.length:
            if find_members(self.bounds, node.log) >> i & 1:
                candidate = node._replace(
                    term=node.term + 1, voted_for=i, votes=1 << i, is_leader=False
                )
                yield f"stand {i}", replace_node(state, i, candidate)

    def crash(self, state, i, node):
        voted_for = node.voted_for if self.bounds.keeps_vote else -1
        restarted = Node(node.term, voted_for, 0, False, node.disk, node.disk)
        return replace_node(state, i, restarted)._replace(crashes=state.crashes - 1)

    def request_vote(self, state, i, j):
        candidate, voter = state.nodes[i], state.nodes[j]
        is_newer = candidate.term > voter.term
        is_free = is_newer or voter.voted_for in (-1, i)
        if candidate.term < voter.term or candidate.votes >> j & 1:
            return
        if self.bounds.checks_vote and not is_free:
            return
        if self.bounds.compares_logs and get_log_rank(candidate.log) < get_log_rank(
            voter.log
        ):
            return
        granted = voter._replace(
            term=candidate.term, voted_for=i, votes=0, is_leader=False
        )
        elected = candidate._replace(votes=candidate.votes | 1 << j)
        after = replace_node(state, j, granted)
        if has_quorum(elected.votes, find_members(self.bounds, elected.log)):
            log = (*elected.log, Entry(elected.term))
            elected = elected._replace(votes=0, is_leader=True, log=log)
            leaders = list(after.leaders)
            leaders[elected.term] |= 1 << i
            after = after._replace(leaders=tuple(leaders))
        yield f"vote {j} for {i}", replace_node(after, i, elected)

    def replicate(self, state, i, j):
        leader, follower = state.nodes[i], state.nodes[j]
        common = count_common(leader.log, follower.log)
        if leader.term < follower.term or common == len(leader.log):
            return
        is_newer = leader.term > follower.term
        updated = follower._replace(
            term=leader.term,
            voted_for=-1 if is_newer else follower.voted_for,
            votes=0,
            is_leader=False,
            log=leader.log[: common + 1],
        )
        yield f"append {i} to {j}", replace_node(state, j, updated)

    def list_leader_steps(self, state, i, node):
        has_room = len(node.log) < self.bounds.length
        if state.proposals and has_room:
            proposed = node._replace(log=(*node.log, Entry(node.term)))
            after = replace_node(state, i, proposed)
            yield f"propose {i}", after._replace(proposals=state.proposals - 1)
        for length in range(len(node.log), 0, -1):
            if node.log[length - 1].term == node.term:
                if self.is_acknowledged(state, i, length):
                    yield from self.commit(state, i, node.log[:length])
                    break
        if state.changes and has_room and self.may_change(state, node):
            yield from self.change_members(state, i, node)

    def is_acknowledged(self, state, i, length):
        leader = state.nodes[i]
        mask = 0
        for j, node in enumerate(state.nodes):
            held = node.disk if self.bounds.syncs_before_ack else node.log
            follows = node.term == leader.term or j == i
            if follows and held[:length] == leader.log[:length]:
                mask |= 1 << j
        return has_quorum(mask, find_members(self.bounds, leader.log))

    def commit(self, state, i, prefix):
        common = count_common(prefix, state.committed)
        if common < min(len(prefix), len(state.committed)):
            yield f"commit {i}", state._replace(forked=True)
        elif len(prefix) > len(state.committed):
            yield f"commit {i}", state._replace(committed=prefix)

    def may_change(self, state, node):
        uncommitted = node.log[count_common(node.log, state.committed) :]
        if any(item.members for item in uncommitted):
            return False
        own_term = any(item.term == node.term for item in state.committed)
        return own_term or not self.bounds.needs_own_term

    def change_members(self, state, i, node):
        members = find_members(self.bounds, node.log)
        for j in range(len(state.nodes)):
            changed = members ^ 1 << j
            if changed:
                log = (*node.log, Entry(node.term, changed))
                after = replace_node(state, i, node._replace(log=log))
                label = f"change members {i} to {changed:b}"
                yield label, after._replace(changes=state.changes - 1)


def get_log_rank(log):
    return (log[-1].term if log else 0, len(log))


def replace_node(state, i, node):
    nodes = (*state.nodes[:i], node, *state.nodes[i + 1 :])
    return state._replace(nodes=nodes)
