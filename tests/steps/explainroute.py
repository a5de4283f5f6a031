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


def make_reply(fields, target):
    return gatewayhost.Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


@contextlib.asynccontextmanager
async def run_host(servers=3):
    scripted = [gatewayhost.ScriptedServer(make_reply) for _ in range(servers)]
    host = gatewayhost.GatewayHost(scripted, "safe", 2, {"weigh_work": True}, ENGINE)
    await host.start()
    host.settle()
    try:
        yield host
    finally:
        await host.close()


def ask(host, path="/x", size=SIZE):
    explainer = routeexplainer.RouteExplainer(host.forwarder)
    return explainer.explain(routeexplainer.Question(gatewayhost.HOST, path, "", size))


@behave.then("the explained server is the one that the next request is sent to")
def check_same(context):
    async def check():
        async with run_host(6) as host:
            for _ in range(15):
                explained = ask(host).services[0].chosen
                size = host.forwarder.expect_stated_size("drafting", SIZE)
                sent = host.forwarder.choose_server("drafting", set(), size)
                assert explained == sent.name
                host.forwarder.note_sent(sent, size)

    asyncio.run(check())


@behave.then(
    "a server that is left out is shown with the rule that it broke and the age of "
    "each fact"
)
def check_left_out(context):
    async def check():
        async with run_host() as host:
            now = clock.read_clock()
            choice = host.forwarder.choice
            choice.note_failure("server-1", now)
            choice.note_stated_load("server-2", 9, now)
            choice.set_other_requests((), now)
            explained = ask(host)
            (service,) = explained.services
            servers = {server.server: server for server in service.servers}
            assert explained.route == "route" and explained.table_version == 1
            assert servers["server-1"].verdict == "left out"
            assert servers["server-1"].against == ("not: has not failed recently",)
            assert "no free slot" in servers["server-2"].against
            assert servers["server-2"].stated_age_s < 1.0
            chosen = servers["server-0"]
            assert chosen.verdict == "chosen" and chosen.work_s > 0
            assert 0 <= chosen.counts_age_s < 1 and 0 <= chosen.roster_age_s < 60

    asyncio.run(check())


@behave.then(
    "a request that would be refused is shown with its reason and time to retry"
)
def check_refused(context):
    async def check():
        async with run_host() as host:
            large = controlcalls.RequestSize(1990, 80)
            admission = ask(host, size=large).services[0].admission
            assert (admission.decision, admission.reason) == (
                "refused",
                "request_too_large",
            )
            assert admission.retry_after_s is None
            for listing in host.forwarder.view.servers.values():
                work = host.forwarder.note_sent(
                    listing, host.forwarder.expect_stated_size("drafting", SIZE)
                )
                assert work is not None
            admission = ask(host, size=controlcalls.RequestSize(1500, 80)).services[0]
            assert admission.admission.reason == "server_memory_full"
            assert admission.admission.retry_after_s > 0
            assert admission.servers[0].against == ("not: has memory left",)
            host.forwarder.refuses_requests = True
            assert ask(host).refusal == "stopping"

    asyncio.run(check())


@behave.then("no limit, count or random state changes by asking")
def check_unchanged(context):
    async def check():
        async with run_host() as host:
            forwarder = host.forwarder
            parts = (
                forwarder.choice,
                forwarder.statements,
                forwarder.cold_limiter,
                forwarder.share,
                forwarder.random_source,
                forwarder.view,
            )
            before = pickle.dumps(copy.deepcopy(parts))
            for size in (SIZE, None, controlcalls.RequestSize(5000, 1)):
                ask(host, size=size)
            assert pickle.dumps(copy.deepcopy(parts)) == before

    asyncio.run(check())


def run_command(*arguments):
    out, error = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
        code = command.main(["explain-route", *arguments])
    return code, out.getvalue(), error.getvalue()


async def ask_by_command(host, *arguments):
    """Runs the command against the metrics listener of a host."""
    counters = metrics.Metrics()
    explainer = routeexplainer.RouteExplainer(host.forwarder)
    listener = metricslistener.MetricsListener(
        "127.0.0.1:0",
        counters,
        settings.Limits(),
        {routeexplainer.PATH: explainer.answer},
    )
    address = await listener.start()
    request = ("--host", address, "--request-host", gatewayhost.HOST, "--path", "/x")
    try:
        return await asyncio.to_thread(run_command, *request, *arguments)
    finally:
        await listener.close()
        counters.close()


@behave.then("the command prints text and JSON")
def check_output(context):
    async def check():
        async with run_host() as host:
            sizes = ("--prompt-tokens", "500", "--answer-tokens", "80")
            code, out, _ = await ask_by_command(host, *sizes)
            assert code == 0, out
            assert "route: route" in out and "admission: starts, priority 0" in out
            assert out.count("slots busy") == 3
            assert "500 tokens to read, 80 expected to be written" in out
            code, out, _ = await ask_by_command(host, *sizes, "--json")
            assert code == 0
            assert json.loads(out)["services"][0]["chosen"].startswith("server-")

    asyncio.run(check())


@behave.then("the command exits with 1 without an answer and with 2 for invalid sizes")
def check_exit_codes(context):
    async def check():
        async with run_host() as host:
            code, out, error = await ask_by_command(host, "--prompt-tokens", "500")
            assert code == 2 and not out and "needed together" in error

    asyncio.run(check())
    request = ("--request-host", "x", "--path", "/x")
    code, out, error = run_command("--host", "127.0.0.1:1", *request)
    assert code == 1 and not out and "no answer from entry host 127.0.0.1:1" in error
