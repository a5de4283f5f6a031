import json
import signal
import time

import behave
from support import forwardingfleet, processes, relativecalls

from lycheegauge.internal.protocol import changes
from lycheegauge.internal.state import routing

RUNS = 1000
SETTLE_S = 3.0
"""Longer than the lease of a gateway, which acts on older restrictions until then."""


def find_leaders(fleet):
    """Returns the numbers of the log hosts that follow themselves."""
    leaders = []
    for number, address in enumerate(fleet.control_hosts):
        lines = fleet.read_log(f"control-{number + 1}").splitlines()
        known = [line for line in lines if "following a leader of the log" in line]
        host = address.split(":")[0]
        if known and json.loads(known[-1])["leader"].split(":")[0] == host:
            leaders.append(number)
    return leaders


def call_once(fleet, number, path, method):
    """Makes one call as clients do; returns its status, or 0 without an answer."""
    address = fleet.control_hosts[number]
    target = forwardingfleet.PREFIX + path
    try:
        answer = processes.call(address, target, b"", method=method, timeout=1.0)
    except OSError:
        return 0
    return answer.status


@behave.when(
    "a follower stands still, calls to it are sent again elsewhere and followed by"
    " newer ones, and it goes on"
)
def send_during_pause(context):
    fleet = context.fleet
    (leader,) = processes.wait_until(lambda: find_leaders(fleet), "a log host leads")
    follower, other = (number for number in range(3) if number != leader)
    context.emptied, context.restarted = fleet.servers[0], fleet.servers[1]
    zone = f"/zones-out/{context.emptied.zone}"
    leave = f"/backend-servers/{context.restarted.name}"
    assert fleet.call_control(zone, {}, "PUT").status == 200
    process = fleet.processes[f"control-{follower + 1}"]
    process.send_signal(signal.SIGSTOP)
    try:
        assert call_once(fleet, follower, zone, "DELETE") == 0
        assert call_once(fleet, follower, leave, "DELETE") == 0
        assert fleet.call_control(zone, None, "DELETE", first=other).status == 200
        assert fleet.call_control(leave, None, "DELETE", first=other).status == 200
        assert fleet.call_control(zone, {}, "PUT", first=other).status == 200
        context.restarted.born_ms = time.time_ns() // 1_000_000
        time.sleep(3 * forwardingfleet.ANNOUNCE_INTERVAL_S)
    finally:
        process.send_signal(signal.SIGCONT)
    time.sleep(SETTLE_S)
    context.before = [sum(server.runs.values()) for server in fleet.servers]
    for number in range(40):
        assert fleet.request("/safe/a", f"after-{number}").status == 200


def count_new_runs(context, server):
    return (
        sum(server.runs.values()) - context.before[context.fleet.servers.index(server)]
    )


@behave.then("the zone that was taken out last stays out")
def check_out(context):
    assert not count_new_runs(context, context.emptied)


@behave.then("the server that started again after its departure is used")
def check_used(context):
    assert count_new_runs(context, context.restarted)


@behave.then(
    "after orders whose steps are delayed at random the newest acknowledged one is in"
    " force"
)
def check_model(context):
    broken = [seed for seed in range(RUNS) if not relativecalls.play(seed)]
    assert not broken, broken


@behave.then(
    "with calls that are not resolved first, or not bounded in age, it is not always"
)
def check_model_finds(context):
    for rules in (
        relativecalls.Rules(resolves=False), relativecalls.Rules(bounds_age=False)
    ):  # fmt: skip
        assert not all(relativecalls.play(seed, rules) for seed in range(RUNS)), rules


@behave.given("a zone that is out")
def take_out(context):
    context.part = routing.RoutingPart()
    context.part.apply(changes.SetZoneOut("z", True))


@behave.when(
    "an order to bring it back is resolved, and the zone is taken out once more"
)
def resolve_order(context):
    version = context.part.get_zone_version("z")
    context.order = changes.SetZoneOut("z", False, version)
    again = changes.SetZoneOut("z", True, version)
    assert context.part.apply(again).status is changes.ChangeStatus.ACCEPTED


@behave.then("the resolved order has no effect, also after a snapshot")
def check_void(context):
    restored = routing.RoutingPart()
    restored.load(context.part.dump())
    for part in (context.part, restored):
        assert part.apply(context.order).status is changes.ChangeStatus.CONFLICT
        assert part.restrictions.zones_out == ("z",)
