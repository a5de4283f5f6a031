import collections
import concurrent.futures
import time

import behave
from support import forwardingfleet, processes

RATIO, SLACK, WINDOW_S = 0.2, 20.0, 6.0
REQUESTS_PER_ROUND = 10
ROUNDS = 7


@behave.given(
    "a forwarding deployment of three gateways whose servers reject every request"
)
def start_fleet(context):
    repeats = {"ratio": RATIO, "slack": SLACK, "window_s": WINDOW_S}
    context.fleet = fleet = forwardingfleet.Fleet(gateways=3, repeats=repeats)
    context.closers.append(fleet.close)
    fleet.start(servers=6)
    fleet.put_table(1)
    fleet.wait_until_served()
    context.sent_at = []
    # The shares of a budget are divided anew after a start.
    time.sleep(2 * WINDOW_S)
    for server in fleet.servers:
        server.refuses = True


def send(context, gateway, count, label):
    def ask(number):
        context.sent_at.append(time.monotonic())
        name = f"{label}-{gateway}-{number}"
        return context.fleet.request("/safe/x", name, gateway=gateway).status

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        statuses = list(pool.map(ask, range(count)))
    assert set(statuses) <= {503}, statuses


@behave.when("requests arrive at gateways that are killed and started again")
def send_and_restart(context):
    fleet = context.fleet
    for gateway in (1, 2):
        send(context, gateway, REQUESTS_PER_ROUND, "steady")
    for number in range(ROUNDS):
        send(context, 0, REQUESTS_PER_ROUND, f"round{number}")
        fleet.stop("gateway-1")
        fleet.start_gateway(0)
        processes.wait_until(
            lambda: processes.call(fleet.ready_address(0), "/v1/ready").status == 200,
            "the gateway is ready again",
        )
    context.restarts_ended_at = time.monotonic()


def list_arrivals(fleet):
    arrivals = (item for server in fleet.servers for item in server.arrivals)
    return sorted(arrivals)


def list_retries(fleet):
    """Returns when a server got a request that another server had got before."""
    seen, retries = set(), []
    for arrived_at, request_id in list_arrivals(fleet):
        if request_id in seen:
            retries.append(arrived_at)
        seen.add(request_id)
    return retries


@behave.then("no window has more retries than the budget of all gateways allows")
def check_windows(context):
    retries = list_retries(context.fleet)
    for start in retries:
        inside = [at for at in retries if start <= at < start + WINDOW_S]
        counts = [
            sum(first <= at < first + WINDOW_S for at in context.sent_at)
            for first in (start, start - WINDOW_S / 2, start - WINDOW_S)
        ]
        allowed = RATIO * max(counts) + SLACK
        assert len(inside) <= allowed, (len(inside), allowed, counts)


@behave.then("the gateways retry again once their windows are over")
def check_not_wasted(context):
    time.sleep(2 * WINDOW_S)
    began_at = time.monotonic()
    for gateway in range(3):
        send(context, gateway, REQUESTS_PER_ROUND, "again")
    retries = collections.Counter(at >= began_at for at in list_retries(context.fleet))
    # Half of what the rule allows for these requests.
    assert retries[True] >= (RATIO * 3 * REQUESTS_PER_ROUND + SLACK) / 2, retries
