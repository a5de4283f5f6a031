import random

import behave
import hypothesis
from hypothesis import strategies
from returns import pipeline
from support import queueing as support
from support import routing

from lycheegauge.internal.coordination import queueing, waitestimates
from lycheegauge.internal.protocol import work

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}
NAMES = strategies.sampled_from(sorted(WEIGHTS))
ADD = strategies.tuples(
    strategies.just("add"), NAMES, strategies.integers(0, 2), strategies.integers(0, 3)
)
TAKE = strategies.tuples(strategies.just("take"))
REMOVE = strategies.tuples(strategies.just("remove"), strategies.integers(0, 20))
# Deadlines so long that no request is refused.
FAR_S = 1e6


def make_queue(length=256, weights=None, service_s=0.5):
    queue = queueing.FairQueue(length, service_s)
    queue.set_weights(weights or {})
    return queue


def list_refused(outcome):
    if pipeline.is_successful(outcome):
        return list(outcome.unwrap())
    return [outcome.failure()]


@behave.then("the fair queue agrees with a naive queue")
def check_naive(context):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.lists(strategies.one_of(ADD, ADD, TAKE, REMOVE)))
    @hypothesis.example(
        [("add", "a", 0, 0), ("take",), ("take",)]
        + [("add", "a", 0, 0), ("add", "b", 0, 0), ("take",)]
    )
    @hypothesis.example(
        [("add", "a", 0, 0)] * 5
        + [("take",)] * 4
        + [("add", "c", 0, 0)] * 2
        + [("take",)] * 3
    )
    def check(steps):
        queue = make_queue(6, WEIGHTS)
        naive = support.NaiveQueue(6, WEIGHTS)
        for number, (kind, *values) in enumerate(steps):
            if kind == "add":
                name, priority, later = values
                request = routing.make_request(
                    f"r{number}", name, FAR_S + later, priority=priority
                )
                refused = [
                    item.request_id for item in list_refused(queue.add(request, 0.0))
                ]
                expected = naive.add(request)
                assert refused == ([expected] if expected else [])
            elif kind == "take":
                assert queue.dequeue(0.0) == naive.dequeue()
            else:
                request_id = f"r{values[0]}"
                assert queue.remove(request_id) == naive.remove(request_id)
            assert len(queue) == len(naive.waiting)

    check()


@behave.then("no flood delays a request beyond its organisation's fair share")
def check_flood(context):
    @hypothesis.given(
        strategies.lists(NAMES, min_size=1, max_size=60), strategies.integers(1, 200)
    )
    def check(arrivals, flood):
        queue = make_queue(10_000, WEIGHTS)
        for number in range(flood):
            queue.add(routing.make_request(f"flood{number}", "flood", FAR_S), 0.0)
        ahead, served, limits = {}, {}, {}
        for number, name in enumerate(arrivals):
            request_id = f"r{number}"
            queue.add(routing.make_request(request_id, name, FAR_S), 0.0)
            ahead[name] = ahead.get(name, 0) + 1
            # In start-time fair queueing a flow of weight 1 gets at most its share
            # of the turns and one more.
            limits[request_id] = (
                served.get("flood", 0),
                ahead[name] / WEIGHTS[name] + 1,
            )
            taken = queue.dequeue(0.0)
            served[taken.organisation] = served.get(taken.organisation, 0) + 1
            if taken.organisation != "flood":
                ahead[taken.organisation] -= 1
                before, bound = limits[taken.request_id]
                assert served.get("flood", 0) - before <= bound

    check()


@behave.then(
    "the fair queue's count of requests served before another one equals a naive count"
)
def check_served_before(context):
    weights = strategies.sampled_from([0.5, 1.0, 2.0])
    flows = strategies.lists(
        strategies.tuples(strategies.integers(0, 9), weights), min_size=1, max_size=8
    )

    @hypothesis.given(flows, strategies.integers(0, 9))
    @hypothesis.example([(1, 1.0), (5, 2.0)], 0)
    def check(flows, ahead):
        (length, weight), *others = flows
        rounds = (ahead + 1) / weight
        served = sum(min(waiting, rounds * other) for waiting, other in others)
        backlog = waitestimates.Backlog(flows)
        counted = backlog.count_served_before(ahead, length, weight)
        assert abs(counted - (ahead + served)) < 1e-6

    check()


@behave.then("the fair queue refuses requests on arrival that cannot be served in time")
def check_hopeless(context):
    @hypothesis.given(
        strategies.floats(0.01, 1.0),
        strategies.integers(20, 60),
        strategies.floats(1, 60),
    )
    def check(interval_s, waiting, deadline_s):
        queue = make_queue()
        for number in range(100 + waiting):
            queue.add(routing.make_request(f"w{number}", "a", FAR_S), 0.0)
        now = 0.0
        for _ in range(100):
            now += interval_s
            queue.dequeue(now)
        outcome = queue.add(routing.make_request("new", "a", deadline_s), now)
        needed_s = waiting * interval_s + 0.5
        if needed_s > deadline_s * 1.01:
            refusal = outcome.failure()
            assert refusal.reason == work.RefusalReason.OVERLOADED
            assert refusal.run_state == work.RunState.NOT_RUN
            assert refusal.retry_after_s > 0
        elif needed_s < deadline_s * queueing.ADMISSION_FRACTION * 0.99:
            assert pipeline.is_successful(outcome)

    check()


@behave.then("a stalled fair queue refuses each request within half of its deadline")
def check_stall(context):
    @hypothesis.given(strategies.lists(strategies.floats(1.0, 30.0), max_size=20))
    def check(deadlines):
        queue = make_queue(service_s=0.0)
        given_up = {}
        for number, deadline_s in enumerate(deadlines):
            queue.add(routing.make_request(f"r{number}", "a", deadline_s), 0.0)
        for tick in range(1, 400):
            for refusal in queue.expire(tick * 0.1):
                given_up[refusal.request_id] = tick * 0.1
                assert refusal.reason == work.RefusalReason.OVERLOADED
        for number, deadline_s in enumerate(deadlines):
            assert given_up[f"r{number}"] <= deadline_s / 2 + 0.11

    check()


@behave.then("the fair queue neither loses nor repeats a request")
def check_outcomes(context):
    @hypothesis.given(strategies.integers(0, 10_000), strategies.floats(0.2, 3.0))
    @hypothesis.settings(max_examples=30)
    def check(seed, overload):
        source = random.Random(seed)
        queue = make_queue(30, WEIGHTS, service_s=0.1)
        outcomes, number, now = [], 0, 0.0
        while now < 20.0:
            now += source.expovariate(20.0)
            outcomes += [item.request_id for item in queue.expire(now)]
            if now < 15.0 and source.random() < overload / (1 + overload):
                name = source.choice("aaab")
                request = routing.make_request(f"r{number}", name, source.uniform(0, 9))
                number += 1
                outcomes += [
                    item.request_id for item in list_refused(queue.add(request, now))
                ]
            elif (request := queue.dequeue(now)) is not None:
                outcomes.append(request.request_id)
                assert request.deadline_s > 0
        assert len(queue) == 0
        assert sorted(outcomes) == sorted(f"r{index}" for index in range(number))

    check()
