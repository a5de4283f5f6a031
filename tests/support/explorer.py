"""Explores the states of a model, by breadth-first search or by random walks.

The search covers every interleaving of steps and faults, shortest first.
"""

import collections
import dataclasses
import hashlib
import io
import pickle

FAULT_PROBABILITY = 0.15


@dataclasses.dataclass(frozen=True)
class Search:
    """The result of a search; ``trace`` lists the actions to the first problem."""

    states: int
    complete: bool
    problem: str
    trace: tuple
    endings: collections.Counter


def freeze(world):
    stream = io.BytesIO()
    pickler = pickle.Pickler(stream, protocol=5)
    # Without the memo, equal states give equal bytes even if they share objects.
    pickler.fast = True
    pickler.dump(world)
    return stream.getvalue()


def search(world, max_states):
    frozen = freeze(world)
    frontier = collections.deque([(frozen, ())])
    seen = {hashlib.blake2b(frozen, digest_size=16).digest()}
    endings = collections.Counter()
    while frontier:
        frozen, trace = frontier.popleft()
        actions = pickle.loads(frozen).list_actions()
        for action in actions:
            world = pickle.loads(frozen)
            world.act(action)
            world.check_rest()
            path = (trace, action)
            if world.problem:
                unwound = unwind(path)
                return Search(len(seen), False, world.problem, unwound, endings)
            frozen_next = freeze(world)
            digest = hashlib.blake2b(frozen_next, digest_size=16).digest()
            if digest in seen:
                continue
            if len(seen) >= max_states:
                return Search(len(seen), False, "", (), endings)
            seen.add(digest)
            frontier.append((frozen_next, path))
            if not world.steps and not world.waiting:
                endings[describe_ending(world)] += 1
    return Search(len(seen), True, "", (), endings)


def unwind(path):
    actions = []
    while path:
        path, action = path
        actions.append(f"{action[0]}: {action[1]}")
    return tuple(reversed(actions))


def describe_ending(world):
    told = [
        "answered" if isinstance(item, bytes) else f"{item.reason}/{item.run_state}"
        for item in world.told.values()
    ]
    return ", ".join(sorted(told)) or "nobody was told"


def walk(build_world, source, walks, max_steps=200):
    """Takes random actions in many models; reaches deeper than a search can."""
    endings = collections.Counter()
    for _ in range(walks):
        world, path = build_world(), ()
        for _ in range(max_steps):
            actions = world.list_actions()
            if not actions:
                break
            action = choose_action(actions, source)
            path = (path, action)
            world.act(action)
            world.check_rest()
            if world.problem:
                return Search(walks, False, world.problem, unwind(path), endings)
        endings[describe_ending(world)] += 1
    return Search(walks, True, "", (), endings)


def choose_action(actions, source):
    """Chooses a step most of the time, to spread faults over the whole walk."""
    usual = [action for action in actions if action[0] in ("step", "start")]
    faults = [action for action in actions if action not in usual]
    if not usual or (faults and source.random() < FAULT_PROBABILITY):
        return source.choice(faults)
    return source.choice(usual)
