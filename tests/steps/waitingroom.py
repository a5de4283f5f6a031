import behave
import hypothesis
from hypothesis import strategies

from lycheegauge.internal.coordination import admission, waitingroom
from lycheegauge.internal.protocol import work

STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("add"), strategies.integers(-2, 2)),
        strategies.tuples(strategies.just("take"), strategies.just(0)),
        strategies.tuples(strategies.just("overdue"), strategies.just(0)),
        strategies.tuples(strategies.just("remove"), strategies.integers(0, 9)),
    ),
    max_size=40,
)


def make_order(name, priority=0, deadline_s=10.0):
    request = work.Request(
        name, "counter", "drafting", b"", name, deadline_s, priority=priority
    )
    return work.WorkOrder(request, 1, "entry-1", 1)


@behave.then(
    "any sequence of arrivals, departures and cancellations leaves the waiting room "
    "consistent"
)
def check_room(context):
    @hypothesis.given(STEPS, strategies.integers(1, 6))
    def check(steps, limit):
        room = waitingroom.WaitingRoom(max_wait_s=5.0)
        naive = []
        for now, (step, value) in enumerate(steps):
            taken = []
            if step == "add" and room.add(make_order(str(now), value), limit, now):
                naive.append((-value, now))
            elif step == "take":
                taken = [order for order in [room.dequeue(now)] if order]
                expected = sorted(naive)[:1]
            elif step == "overdue":
                taken = list(room.dequeue_overdue(now))
                expected = [item for item in sorted(naive) if now - item[1] >= 5]
            elif step == "remove":
                known = [item for item in naive if item[1] == value]
                assert room.remove(str(value), 1) == bool(known)
                naive = [item for item in naive if item not in known]
            if step in ("take", "overdue"):
                names = [order.request.request_id for order in taken]
                assert names == [str(arrived) for _, arrived in expected]
                for order, (_, arrived) in zip(taken, expected, strict=True):
                    assert order.request.deadline_s == 10.0 - (now - arrived)
                naive = [item for item in naive if item not in expected]
            assert len(room) == len(naive) <= max(limit, waitingroom.MIN_CAPACITY)

    check()


@behave.given("a waiting room for a server that admits one request")
def make_room(context):
    context.room = waitingroom.WaitingRoom()
    context.limit = admission.ColdStartLimit(admission.AdmissionSettings(), "boot-1")


@behave.when("nine entry hosts send one order each at the same moment")
def send_nine(context):
    room, limit = context.room, context.limit
    tickets = [limit.admit().unwrap()]
    for number in range(8):
        assert room.add(make_order(str(number)), limit.limit, 0.0), number
    context.most_running = limit.running
    while len(room):
        limit.finish(tickets.pop(), 0.1, succeeded=False)
        assert room.dequeue(0.1) is not None
        tickets.append(limit.admit().unwrap())
        context.most_running = max(context.most_running, limit.running)


@behave.then("no order is refused and never more than one runs")
def check_nine(context):
    assert context.most_running == 1


@behave.when("an order waits for the maximum time")
def wait_too_long(context):
    context.room.add(make_order("late"), 1, 0.0)
    assert context.room.dequeue_overdue(waitingroom.MAX_WAIT_S - 0.01) == ()
    context.handed_back = context.room.dequeue_overdue(waitingroom.MAX_WAIT_S)


@behave.then("the order is handed back with its remaining deadline")
def check_handed_back(context):
    (order,) = context.handed_back
    assert order.request.deadline_s == 10.0 - waitingroom.MAX_WAIT_S
    assert len(context.room) == 0
