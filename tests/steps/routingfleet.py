import random

import behave
from support import routingfleet

from lycheegauge.internal.coordination import retries
from lycheegauge.internal.protocol import work

measurement = routingfleet.measurement
PART = 0.5
SEED = 7


def start(duration_s):
    trace = measurement.make_trace(PART * measurement.FULL_RATE, duration_s, SEED)
    return measurement.Simulation("sampled_score", trace, SEED)


def record_sends(run):
    sends = []
    for entry in run.entries:

        def send(request, name, entry=entry, plain=entry.send):
            sends.append((run.clock.now, run.servers_by_name[name].zone))
            plain(request, name)

        entry.send = send
    return sends


@behave.given(
    "a fleet at half load whose zone-b leaves at 10 s and returns cold at 25 s"
)
def run_zone(context):
    run = start(40.0)
    run.servers_by_name = {server.name: server for server in run.servers}
    context.sends = record_sends(run)
    measurement.plan_zone_change(run, "zone-b", 10.0, 25.0, random.Random(SEED))
    context.run, context.records = run, run.run_until(80.0)


@behave.given("a fleet at half load whose servers all become cold at 10 s")
def run_cold(context):
    run = start(30.0)
    for server in run.servers:
        run.clock.after(10.0, server.restart)
    context.run, context.records = run, run.run_until(80.0)


@behave.then("each routed request ended with a complete answer")
def check_answers(context):
    assert all(item.ended_at >= 0 and not item.refused for item in context.records)


@behave.then("routing sends no work to zone-b from 2 s after it left until it returns")
def check_no_work(context):
    late = [at for at, zone in context.sends if zone == "zone-b" and 12.0 <= at < 25.0]
    assert not late
    assert any(zone == "zone-b" and at > 26.5 for at, zone in context.sends)


@behave.then(
    "the fleet's attempts stay within requests, the retry fraction and the bursts"
)
def check_attempts(context):
    attempts = sum(item.attempts for item in context.records)
    bursts = retries.RETRY_BURST * len(context.run.entries)
    bound = len(context.records) * (1 + retries.RETRY_FRACTION) + bursts
    print(
        f"figure: routing: whole fleet turns cold: {len(context.records)} requests,"
        f" {attempts} attempts, bound {bound:.0f},"
        f" refused {sum(bool(item.refused) for item in context.records)}"
    )
    assert attempts <= bound


@behave.then("each routed request ended with an answer or a refusal that says not run")
def check_ended(context):
    assert all(item.ended_at >= 0 for item in context.records)
    refused = {item.refused for item in context.records if item.refused}
    assert refused <= {str(reason) for reason in work.RefusalReason}
