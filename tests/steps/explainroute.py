import asyncio
import contextlib
import copy
import dataclasses
import io
import json
import pickle
import unittest.mock

import behave
from support import gatewayhost

from lycheegauge import command, metrics, settings
from lycheegauge.internal.daemons import metricslistener, routeexplainer
from lycheegauge.internal.protocol import controlcalls, roster
from lycheegauge.internal.transport import clock

ENGINE = {"memory_tokens": 2000, "steps_per_event": 7, "stream_step_s": 0.001}
SIZE = controlcalls.RequestSize(500, 80)
LARGE = controlcalls.RequestSize(1990, 80)


STREAM_ENGINE = {"step_s": 0.001, "steps_per_event": 1, "mean_answer_tokens": 400}
QUEUE_LENGTH = 2


def run_with_host(check, servers=3, **sections):
    """Runs a check with a host; its servers are never asked."""
    choice = {"weigh_work": True}
    given = {"repetition": "safe", "server_choice": choice, "engine": ENGINE}

    async def run():
        scripted = [gatewayhost.ScriptedServer(None) for _ in range(servers)]
        host = gatewayhost.GatewayHost(
            scripted, attempts_max=2, **{**given, **sections}
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


def run_with_admission(check):
    """Runs a check with a host whose group has four slots and two waiting places."""
    admission = {"from_servers": 2, "queue_length": QUEUE_LENGTH}
    run_with_host(
        check, 2, repetition="stream", slots=2, engine=STREAM_ENGINE,
        admission=admission,
    )  # fmt: skip


def enter(host):
    """Starts a request's admission as the forwarding path does."""
    admission, now = host.forwarder.admission, clock.read_clock()
    route = host.forwarder.services.index.find_route(gatewayhost.HOST, "/x")
    times = now, now + route.timeout_s
    ticket = admission.make_ticket("drafting", route, None, "", SIZE, times, 0, str)
    return ticket, asyncio.create_task(admission.enter(ticket))


@behave.then("the explained admission is what the next request gets")
def check_admission(context):
    async def check(host):
        entered, decisions = [], []
        for _ in range(7):
            explained = ask(host).services[0].admission
            ticket, task = enter(host)
            entered.append((ticket, task))
            await asyncio.sleep(0)
            decisions.append(explained.decision)
            if explained.decision == "refused":
                refused = await task
                assert explained.reason == refused.reason.value == "queue_full"
                assert explained.retry_after_s == round(refused.retry_after_s, 2) > 0
            else:
                assert task.done() == (explained.decision == "starts")
            assert explained.streams == min(4, len(entered) - 1)
            assert (explained.capacity, explained.level, explained.levels) == (4, 0, 1)
            assert explained.ahead == min(QUEUE_LENGTH, max(0, len(entered) - 5))
            assert (explained.pass_age_s, explained.headroom) == (None, 0)
            assert explained.pass_s > 0 and explained.streams_age_s >= 0
        assert decisions == ["starts"] * 4 + ["waits"] * QUEUE_LENGTH + ["refused"]
        assert 0 < explained.wait_s < explained.wait_max_s <= 1.5
        host.forwarder.admission.note_gap("drafting", 0.005, clock.read_clock())
        _, out, _ = await ask_by_command(host)
        assert "level 0 of 1, 4 streams open (" in out and "capacity 4" in out, out
        assert "pass 5 ms (0.0" in out and "headroom 0, 2 wait ahead" in out, out
        assert "queue_full" in out and "retry after " in out, out
        for ticket, task in entered:
            task.cancel()
            host.forwarder.admission.leave(ticket)

    async def check_at_one_time(host):
        # The estimates of the decision age, and a busy machine needs some time to ask.
        now = clock.read_clock()
        with unittest.mock.patch.object(clock, "read_clock", lambda: now):
            await check(host)

    run_with_admission(check_at_one_time)


@behave.then("so it is for a host that uses what the others leave free")
def check_allowance(context):
    async def check(host):
        share, at, running, decisions = host.forwarder.share, [0.0], [], set()
        at[0] = now = clock.read_clock()
        sequence = share.make_demand(now).sequence
        share.apply_share(roster.HostShare(sequence, 0.5, 60.0, 0.0), now)
        with unittest.mock.patch.object(clock, "read_clock", lambda: at[0]):
            for _ in range(100):
                at[0] += 0.05
                decision = ask(host).services[0].admission.decision
                ticket, task = enter(host)
                await asyncio.sleep(0)
                assert task.done() == (decision == "starts"), decisions
                if len(running) == 3:
                    decisions.add(decision)
                running.append(ticket)
                if decision == "waits":
                    task.cancel()
                if decision == "waits" or len(running) > 3:
                    host.forwarder.admission.leave(running.pop())
        assert decisions == {"starts", "waits"}

    run_with_admission(check)


@behave.then(
    "no queue, allowance, rate, counter or random state of admission changes by asking"
)
def check_admission_unchanged(context):
    def describe(forwarder):
        admission = forwarder.admission
        service = admission._services["drafting"]
        known = [getattr(service, item.name) for item in dataclasses.fields(service)]
        parts = [
            *known,
            forwarder.choice,
            forwarder.random_source,
            len(admission._tickets),
        ]
        return repr(admission._numbers), pickle.dumps(copy.deepcopy(parts))

    async def check(host):
        forwarder, now = host.forwarder, clock.read_clock()
        entered = [enter(host) for _ in range(5)]
        await asyncio.sleep(0)
        gate = forwarder.admission._services["drafting"].gate
        assert (gate.own, len(gate.waiting)) == (4, 1)
        # The next decision renews all: gaps and updates have expired, the lists of
        # servers are old, and the allowance's interval is over.
        later = now + 0.8
        for at in (now, now + 0.1, later):
            gate.meter.note_gap(0.001, 1, at)
        news = roster.LoadNews("gateway-2", 1, (roster.OpenRequests("server-0", 1),))
        forwarder.choice.news.apply(news, now - 0.5)
        before = describe(forwarder)
        with (
            unittest.mock.patch.object(forwarder.admission, "_metrics", None),
            unittest.mock.patch.object(clock, "read_clock", lambda: later),
        ):
            for size in (SIZE, None, LARGE):
                assert ask(host, size).services[0].admission.decision == "waits"
        assert describe(forwarder) == before
        for ticket, task in entered:
            task.cancel()
            forwarder.admission.leave(ticket)

    run_with_admission(check)


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
