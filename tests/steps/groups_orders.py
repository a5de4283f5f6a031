import dataclasses

import behave
import hypothesis
from hypothesis import strategies
from returns import result

from lycheegauge.internal.coordination.groups import orders, refusals
from lycheegauge.internal.protocol import expertmaps

KINDS = expertmaps.OrderKind
ROOM = 10


def make_order(kind, epoch=1, expert=0, size=0):
    return expertmaps.EngineOrder(
        kind, "group", epoch, 0, layer=0, expert=expert, bytes_to_load=size
    )


def make_queue(checks_fencing=True, rate=1.0, burst=4.0):
    queue = orders.OrderQueue(
        orders.OrderQueueSettings(ROOM, rate, burst, checks_fencing), now=0.0
    )
    queue.learn_epoch(1)
    return queue


ORDERS = strategies.builds(
    make_order,
    kind=strategies.sampled_from(list(KINDS)),
    epoch=strategies.integers(0, 4),
    expert=strategies.integers(0, 4),
    size=strategies.integers(0, 4),
)
EVENTS = strategies.lists(
    strategies.one_of(
        ORDERS,
        strategies.floats(0.0, 3.0),
        strategies.booleans(),
    ),
    max_size=60,
)


@dataclasses.dataclass
class Engine:
    """Records the orders in flight at the engine, the newest epoch and loaded bytes."""

    in_flight: list
    held: dict
    loaded_bytes: int = 0
    newest: int = 0

    def take(self, order, checks_fencing):
        if not checks_fencing:
            assert all(earlier.epoch >= order.epoch for earlier in self.in_flight)
        assert order.epoch >= self.newest
        loads = [order.kind, *(earlier.kind for earlier in self.in_flight)]
        assert not self.in_flight or set(loads) == {KINDS.LOAD_EXPERT}
        self.newest = order.epoch
        self.in_flight.append(order)
        self.loaded_bytes += orders.count_bytes(order)

    def end(self, queue, done):
        order = self.in_flight.pop(0)
        queue.finish(order, done)
        if done and order.kind == KINDS.LOAD_EXPERT:
            self.held[order.expert] = order.bytes_to_load
        if done and order.kind == KINDS.DROP_EXPERT:
            self.held.pop(order.expert, None)


def submit_checked(queue, order, newest):
    taken = queue.submit(order)
    if order.epoch < newest:
        assert isinstance(taken.failure(), refusals.StaleEpochError)
        return newest
    return order.epoch if isinstance(taken, result.Success) else newest


def tick_checked(queue, engine, now, checks_fencing):
    sent = queue.tick(now)
    for order in sent:
        engine.take(order, checks_fencing)
    assert engine.loaded_bytes <= 4.0 + now + 1e-6
    arriving = sum(orders.count_bytes(order) for order in engine.in_flight)
    assert sum(engine.held.values()) + arriving <= ROOM
    return sent


def drain(queue, engine, now, checks_fencing):
    while engine.in_flight or queue.queued:
        now += 10.0
        sent = tick_checked(queue, engine, now, checks_fencing)
        assert sent or engine.in_flight, (
            "orders are queued but none is sent or in flight"
        )
        engine.end(queue, done=True)


@behave.then("group orders respect the epoch, the store's rate and the rank's memory")
def check_queue(context):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(EVENTS, strategies.booleans())
    def check(events, checks_fencing):
        queue = make_queue(checks_fencing)
        engine = Engine([], {})
        now, newest = 0.0, 1
        for event in events:
            if isinstance(event, float):
                now += event
            elif not isinstance(event, bool):
                newest = submit_checked(queue, event, newest)
            elif engine.in_flight:
                engine.end(queue, event)
            tick_checked(queue, engine, now, checks_fencing)
        drain(queue, engine, now, checks_fencing)

    check()


@behave.then(
    "group orders of a new epoch wait only for engines that ignore fencing numbers"
)
def check_fencing(context):
    for checks_fencing in (True, False):
        queue = make_queue(checks_fencing, burst=9.0)
        old = make_order(KINDS.LOAD_EXPERT, 1, 0, 1)
        new = make_order(KINDS.LOAD_EXPERT, 2, 1, 1)
        void = make_order(KINDS.USE_MAP, 1)
        queue.submit(old).unwrap()
        assert queue.tick(0.0) == (old,)
        queue.submit(void).unwrap()
        assert queue.learn_epoch(2) == (void,)
        queue.submit(new).unwrap()
        assert queue.tick(0.0) == ((new,) if checks_fencing else ())
        queue.finish(old, done=True)
        assert queue.tick(0.0) == (() if checks_fencing else (new,))


@behave.then("group orders wait for the memory that an earlier drop frees")
def check_room(context):
    queue = make_queue(rate=100.0, burst=100.0)
    first = make_order(KINDS.LOAD_EXPERT, 1, 0, 6)
    second = make_order(KINDS.LOAD_EXPERT, 1, 1, 6)
    queue.submit(first).unwrap()
    assert isinstance(queue.submit(second).failure(), refusals.NoRoomError)
    drop = make_order(KINDS.DROP_EXPERT, 1, 0)
    queue.submit(drop).unwrap()
    queue.submit(second).unwrap()
    assert queue.tick(1.0) == (first,)
    queue.finish(first, done=True)
    assert queue.tick(1.0) == (drop,)
    queue.finish(drop, done=True)
    assert queue.tick(1.0) == (second,)
    assert queue.used_bytes == 6


@behave.then("group orders load an expert again only with memory for both copies")
def check_reload(context):
    queue = make_queue(rate=100.0, burst=100.0)
    first = make_order(KINDS.LOAD_EXPERT, 1, 0, 4)
    other = make_order(KINDS.LOAD_EXPERT, 1, 1, 4)
    queue.submit(first).unwrap()
    queue.tick(0.0)
    queue.finish(first, done=True)
    large = make_order(KINDS.LOAD_EXPERT, 1, 0, 7)
    assert isinstance(queue.submit(large).failure(), refusals.NoRoomError)
    queue.submit(first).unwrap()
    queue.submit(other).unwrap()
    assert queue.tick(1.0) == (first,)
    queue.finish(first, done=True)
    assert queue.tick(1.0) == (other,)


@behave.then("group orders behind a failed one are returned")
def check_failed(context):
    queue = make_queue()
    drop = make_order(KINDS.DROP_EXPERT, 1, 0)
    load = make_order(KINDS.LOAD_EXPERT, 1, 1, 1)
    queue.submit(drop).unwrap()
    queue.submit(load).unwrap()
    assert queue.tick(0.0) == (drop,)
    assert queue.finish(drop, done=False) == (load,)
    assert queue.tick(0.0) == ()
