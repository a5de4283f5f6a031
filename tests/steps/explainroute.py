import asyncio
import contextlib
import copy
import io
import json
import pickle

import behave
from support import gatewayhost

from lycheegauge import command, metrics, settings
from lycheegauge.internal.daemons import metricslistener, routeexplainer
from lycheegauge.internal.protocol import controlcalls
from lycheegauge.internal.transport import clock

ENGINE = {"memory_tokens": 2000, "steps_per_event": 7, "stream_step_s": 0.001}
SIZE = controlcalls.RequestSize(500, 80)
LARGE = controlcalls.RequestSize(1990, 80)


def run_with_host(check, servers=3):
    """Runs a check with a host; its servers are never asked."""

    async def run():
        scripted = [gatewayhost.ScriptedServer(None) for _ in range(servers)]
        host = gatewayhost.GatewayHost(
            scripted, "safe", 2, server_choice={"weigh_work": True}, engine=ENGINE
        )
        await host.start()
        try:
            await check(host)
        finally:
            await host.close()

    asyncio.run(run())


def ask(host, size=SIZE):
    explainer = routeexplainer.RouteExplainer(host.forwarder)
    return explainer.explain(routeexplainer.Question(gatewayhost.HOST, "/x", "", size))


@behave.then("the explained server is the one that the next request is sent to")
def check_same(context):
    async def check(host):
        size = host.forwarder.services.expect_size("drafting", SIZE)
        for _ in range(15):
            explained = ask(host).services[0].chosen
            sent = host.forwarder.chooser.choose("drafting", set(), size)
            assert explained == sent.name
            host.forwarder.records.note_sent(sent, size)

    run_with_host(check, servers=6)


@behave.then(
    "a server that is left out is shown with the rule that it broke and the age of "
    "each fact"
)
def check_left_out(context):
    async def check(host):
        choice, now = host.forwarder.choice, clock.read_clock()
        choice.note_failure("server-1", now)
        choice.note_stated_load("server-2", 9, now)
        choice.set_other_requests((), now)
        explained = ask(host)
        assert explained.route == "route" and explained.table_version == 1
        servers = {item.server: item for item in explained.services[0].servers}
        assert servers["server-1"].verdict == "left out"
        assert servers["server-1"].against == ("not: has not failed recently",)
        assert "no free slot" in servers["server-2"].against
        assert servers["server-2"].stated_age_s < 1.0
        chosen = servers["server-0"]
        assert chosen.verdict == "chosen" and chosen.work_s > 0
        assert 0 <= chosen.counts_age_s < 1 and 0 <= chosen.roster_age_s < 60

    run_with_host(check)


@behave.then(
    "a request that would be refused is shown with its reason and time to retry"
)
def check_refused(context):
    async def check(host):
        admission = ask(host, LARGE).services[0].admission
        assert admission.decision == "refused" and admission.retry_after_s is None
        assert admission.reason == "request_too_large"
        size = host.forwarder.services.expect_size("drafting", SIZE)
        for listing in host.forwarder.view.servers.values():
            host.forwarder.records.note_sent(listing, size)
        service = ask(host, controlcalls.RequestSize(1500, 80)).services[0]
        assert service.admission.reason == "server_memory_full"
        assert service.admission.retry_after_s > 0
        assert service.servers[0].against == ("not: has memory left",)
        host.forwarder.refuses_requests = True
        assert ask(host).refusal == "stopping"

    run_with_host(check)


@behave.then("no limit, count or random state changes by asking")
def check_unchanged(context):
    async def check(host):
        names = ("choice", "statements", "cold_limiter", "share", "random_source")
        parts = [getattr(host.forwarder, name) for name in (*names, "view")]
        before = pickle.dumps(copy.deepcopy(parts))
        for size in (SIZE, None, LARGE):
            ask(host, size)
        assert pickle.dumps(copy.deepcopy(parts)) == before

    run_with_host(check)


def run_command(address, *arguments):
    request = ("--host", address, "--request-host", gatewayhost.HOST, "--path", "/x")
    out, error = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
        code = command.main(["explain-route", *request, *arguments])
    return code, out.getvalue(), error.getvalue()


async def ask_by_command(host, *arguments):
    """Runs the command against the metrics listener of a host."""
    counters = metrics.Metrics()
    answer = routeexplainer.RouteExplainer(host.forwarder).answer
    listener = metricslistener.MetricsListener(
        "127.0.0.1:0", counters, settings.Limits(), {routeexplainer.PATH: answer}
    )
    address = await listener.start()
    try:
        return await asyncio.to_thread(run_command, address, *arguments)
    finally:
        await listener.close()
        counters.close()


@behave.then("the command prints text and JSON")
def check_output(context):
    async def check(host):
        sizes = ("--prompt-tokens", "500", "--answer-tokens", "80")
        code, out, _ = await ask_by_command(host, *sizes)
        assert code == 0 and out.count("slots busy") == 3, out
        assert "route: route" in out and "admission: starts, priority 0" in out
        assert "500 tokens to read, 80 expected to be written" in out
        code, out, _ = await ask_by_command(host, *sizes, "--json")
        assert code == 0
        assert json.loads(out)["services"][0]["chosen"].startswith("server-")

    run_with_host(check)


@behave.then("the command exits with 1 without an answer and with 2 for invalid sizes")
def check_exit_codes(context):
    async def check(host):
        code, out, error = await ask_by_command(host, "--prompt-tokens", "500")
        assert code == 2 and not out and "needed together" in error

    run_with_host(check)
    code, out, error = run_command("127.0.0.1:1")
    assert code == 1 and not out and "no answer from entry host 127.0.0.1:1" in error
