"""A bounded model of the step permit protocol, for exhaustive model checking.

Bounds: two ranks, two coordinators (epochs 1 and 2), map versions 1 and 2, ``STEPS``
steps, a total of ``Rules.restarts`` restarts of agents, with or without their engines,
and never two lost engines at once. An offer may arrive late, repeatedly or never: a
coordinator's offers of all its stages remain deliverable forever. A restarted agent
reads the log's epoch at once, which is the lowest epoch it may learn; before that it
does nothing.
"""

import dataclasses
import itertools
import typing

import minicheck

STEPS = 3
RESTARTS = 1
RANKS = (0, 1)
LOST = -1


@dataclasses.dataclass(frozen=True)
class Rules:
    """The safeguards that are active; a broken variant lacks one."""

    restarts: int = RESTARTS
    ranks_fence: bool = True
    log_fences: bool = True
    asks_all: bool = True
    waits_for_cut: bool = True
    lost_rank_steps: int = 1
    addresses_incarnation: bool = True


class Rank(typing.NamedTuple):
    restarts: int = 0
    epoch: int = 1
    stage: int = 0  # of the newest offer taken in this epoch
    horizon: int = 0  # last step permitted with version 1
    second: int = 0  # first step permitted with version 2, 0 for none
    position: int = 0  # last step started, LOST when the engine is new


class View(typing.NamedTuple):
    """A coordinator's view of a rank.

    ``known`` pairs each incarnation with the stage at which it first answered.
    """

    heard: bool = False
    known: tuple = ()
    cut: bool = False


class Coordinator(typing.NamedTuple):
    phase: str = "off"  # off, asking, granting, cutting, done
    first: int = 0  # first step of version 2 as known to it, 0 for none
    cut_at: int = 0
    bound: int = 0  # the last step that a rank reported in its acknowledgement
    views: tuple = (View(), View())


STAGES = {"granting": 1, "cutting": 2, "done": 3}
INITIAL_VIEW = View(True, ((0, 1),))
INITIAL = (
    1,  # the log's epoch
    0,  # the first step of version 2 in the log
    Coordinator("granting", views=(INITIAL_VIEW, INITIAL_VIEW)),
    Coordinator(),
    Rank(),
    Rank(),
    (0,) * STEPS,  # versions used in each step, one bit each
)
FIELDS = ("epoch", "first", "one", "two", "rank0", "rank1", "used")


def make_protocol(rules):
    return minicheck.Protocol(
        name="step permits",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=lambda state: [
            (label, normalize_state(after))
            for label, after in list_transitions(state, rules)
        ],
        invariants={"one map a step": lambda state: 3 not in state["used"]},
    )


def list_transitions(state, rules):
    found = []
    if state[3].phase == "off":
        taken = Coordinator("asking", state[1])
        found.append(("take epoch", (2, state[1], state[2], taken, *state[4:])))
    for number in (1, 2):
        found += list_coordinator_transitions(state, number, rules)
    for rank in RANKS:
        found += list_rank_transitions(state, rank, rules.restarts)
        for number, stage in itertools.product((1, 2), (1, 2, 3)):
            found += deliver_offer(state, number, rank, stage, rules)
    return found


def normalize_state(state):
    """Resets values that no longer matter, to reduce the number of states."""
    positions = [state[4].position, state[5].position]
    settled = max(positions) if LOST in positions else min(positions)
    used = tuple(
        versions if step >= settled or versions == 3 else 0
        for step, versions in enumerate(state[6], start=1)
    )
    one, two = (normalize_views(made) for made in state[2:4])
    return (*state[:2], one, two, *state[4:6], used)


def normalize_views(made):
    keeps_heard, keeps_cut = made.phase == "asking", made.phase == "cutting"
    views = tuple(
        view._replace(heard=view.heard and keeps_heard, cut=view.cut and keeps_cut)
        for view in made.views
    )
    return made._replace(views=views, bound=made.bound if keeps_cut else 0)


def replace(state, place, value):
    return (*state[:place], value, *state[place + 1 :])


def list_coordinator_transitions(state, number, rules):
    place = number + 1
    made = state[place]
    found = []
    if made.phase == "off":
        return found
    need = all if rules.asks_all else any
    for rank in RANKS:
        found += ask(state, number, rank)
    if made.phase == "asking" and need(view.heard for view in made.views):
        phase = "done" if made.first else "granting"
        moved = made._replace(phase=phase)
        found.append((f"{number} grants", replace(state, place, moved)))
    if made.phase == "granting":
        for cut_at in range(1, STEPS - 1):
            moved = made._replace(phase="cutting", cut_at=cut_at)
            found.append((f"{number} cuts", replace(state, place, moved)))
    acknowledged = need(view.cut for view in made.views) or not rules.waits_for_cut
    if made.phase == "cutting" and acknowledged:
        found += commit(state, number, rules)
    return found


def ask(state, number, rank):
    """The rank answers a coordinator unless its epoch is older."""
    place = number + 1
    held = state[4 + rank]
    if held.epoch > number:
        return []
    if held.epoch < number:
        held = held._replace(epoch=number, stage=0)
    made = state[place]
    old = made.views[rank]
    known = old.known
    if held.restarts not in dict(known):
        known = (*known, (held.restarts, STAGES.get(made.phase, 0)))
    view = View(True, known, held.stage >= 2)
    bound = max(made.bound, held.position) if view.cut else made.bound
    views = (*made.views[:rank], view, *made.views[rank + 1 :])
    asked = replace(state, place, made._replace(views=views, bound=bound))
    return [(f"{number} asks {rank}", replace(asked, 4 + rank, held))]


def commit(state, number, rules):
    made = state[number + 1]
    first = max(made.cut_at, made.bound) + rules.lost_rank_steps + 1
    fenced = rules.log_fences and state[0] != number
    if fenced or state[1]:
        return []
    moved = made._replace(phase="done", first=first)
    return [(f"{number} commits", replace(replace(state, 1, first), number + 1, moved))]


def deliver_offer(state, number, rank, stage, rules):
    made = state[number + 1]
    held = state[4 + rank]
    sent = stage <= STAGES.get(made.phase, 0)
    if number == 2 and state[3].first and stage < 3:
        sent = sent and state[3].cut_at > 0  # it began with version 2 in the log
    known_from = dict(made.views[rank].known).get(held.restarts, STEPS)
    if not sent or rules.addresses_incarnation and stage < known_from:
        return []
    if rules.ranks_fence and held.epoch > number:
        return []
    if held.epoch == number and stage <= held.stage:
        return []
    horizon, second = {
        1: (STEPS, 0),
        2: (made.cut_at, 0),
        3: (made.first - 1, made.first),
    }[stage]
    taken = held._replace(epoch=number, stage=stage, horizon=horizon, second=second)
    return [(f"offer {stage} of {number} at {rank}", replace(state, 4 + rank, taken))]


def list_rank_transitions(state, rank, restarts):
    held, peer = state[4 + rank], state[5 - rank]
    found = start_step(state, rank, held, peer)
    if held.restarts + peer.restarts < restarts:
        for position in {
            held.position,
            held.position if peer.position == LOST else LOST,
        }:
            fresh = Rank(held.restarts + 1, state[0], position=position)
            found.append((f"{rank} restarts", replace(state, 4 + rank, fresh)))
    return found


def start_step(state, rank, held, peer):
    """Starts a step in lock-step; a new engine joins its peer's current step."""
    if peer.position == LOST or peer.position < held.position:
        return []
    lost = held.position == LOST
    step = max(peer.position, 1) if lost else held.position + 1
    if step > STEPS:
        return []
    used = list(state[6])
    if held.second and step >= held.second:
        used[step - 1] |= 2
    elif step <= held.horizon:
        used[step - 1] |= 1
    else:
        return []
    moved = replace(state, 4 + rank, held._replace(position=step))
    return [(f"{rank} starts {step}", replace(moved, 6, tuple(used)))]
