import asyncio
import contextlib
import dataclasses
import inspect
import io
import json
import pathlib
import tempfile
import threading
import time
import typing

import behave
import loguru

from lycheegauge import command
from lycheegauge.internal import events, logs, traces
from lycheegauge.internal.coordination import requestoutcomes
from lycheegauge.internal.daemons import (
    forwardedrequest,
    hedgedattempt,
    lifecycle,
    requestrecord,
    responseforwarding,
    suspectedrequest,
    workmeter,
)
from lycheegauge.internal.protocol import routetables, work


class StalledStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait()
        return super().write(text)


def write_lines(writer, kind, count, **fields):
    loguru.logger.remove()
    loguru.logger.add(writer.write, level="INFO", format="{message}")
    for _ in range(count):
        loguru.logger.info(kind, **fields)


@behave.then(
    "lines beyond the queue's capacity are dropped and counted while the reader stalls"
)
def check_stalled(context):
    stream = StalledStream()
    limiter = logs.LineRateLimiter(lambda: 0.0)
    limiter.allow = lambda kind, is_routine: True
    writer = logs.LineWriter(stream, limiter)
    writer.start()
    began = time.monotonic()
    write_lines(writer, "request given up", logs.QUEUE_LINES_MAX + 500)
    assert time.monotonic() - began < 5.0, "writing blocked on the stalled reader"
    dropped = limiter.pop_dropped()["request given up"]
    stream.released.set()
    writer.close(5.0)
    written = stream.getvalue().count("\n")
    assert written + dropped == logs.QUEUE_LINES_MAX + 500
    assert dropped >= 499


@behave.then(
    "a flood of one kind is dropped and counted and other kinds are still written"
)
def check_rate_limit(context):
    clock = {"now": 0.0}
    limiter = logs.LineRateLimiter(lambda: clock["now"])
    burst = logs.ROUTINE_LINES_PER_S * logs.BURST_S
    taken = sum(limiter.allow("request sent", True) for _ in range(5000))
    assert taken == burst
    assert limiter.allow("request given up", False)
    assert limiter.pop_dropped() == {"request sent": 5000 - burst}
    assert limiter.pop_dropped() == {}
    clock["now"] = 1.0
    taken = sum(limiter.allow("request sent", True) for _ in range(5000))
    assert taken == logs.ROUTINE_LINES_PER_S


def list_events():
    return [
        value
        for value in vars(events).values()
        if inspect.isclass(value)
        and issubclass(value, events.Event)
        and value is not events.Event
    ]


@behave.then("every event has its request id and documents each of its typed fields")
def check_events(context):
    meanings = {}
    for event in list_events():
        hints = typing.get_type_hints(event)
        names = [field.name for field in dataclasses.fields(event)]
        assert names[0] == "request_id"
        for name in names[1:]:
            assert f"{name}:" in event.__doc__, f"{event.__name__}.{name}"
            assert meanings.setdefault(name, hints[name]) is hints[name], name
            assert hints[name] in (str, int, float, bool)


@behave.then("every way in which a forwarded request ends writes an event")
def check_endings(context):
    source = inspect.getsource(requestrecord)
    users = (forwardedrequest, hedgedattempt, suspectedrequest)
    used = "".join(map(inspect.getsource, users))
    for event in list_events():
        assert f"events.{event.__name__}(" in source, f"{event.__name__} is not written"
    for name in vars(requestrecord.RequestRecord):
        if name.startswith("write_"):
            assert f"_record.{name}(" in used, f"{name} is not used"
    request = forwardedrequest.ForwardedRequest
    # The methods that end a request; a new one must write its event too.
    for ending, event in {
        "_send_refusal": "_write_given_up",
        "_end": "_write_given_up",
        "_attempt": "_note_answered",
        "_note_answered": "write_answered",
        "run": "write_cancelled",
    }.items():
        assert event in inspect.getsource(getattr(request, ending)), ending
    response = responseforwarding.ResponseForwarder
    finishing = [
        name
        for name, method in (*vars(request).items(), *vars(response).items())
        if inspect.isfunction(method)
        and any(
            call in inspect.getsource(method)
            for call in ("_exchange.finish(", "_exchange.abort(", "_exchange.answer(")
        )
    ]
    assert sorted(finishing) == [
        "_end", "_forward_events", "_forward_parts", "_forward_plain", "_send_refusal",
        "run",
    ], finishing  # fmt: skip


def make_line(second, process, message, **fields):
    return json.dumps(
        {"time": f"2026-01-01T00:00:{second:06.3f}+00:00", "level": "INFO",
         "message": message, "process": process, **fields}
    )  # fmt: skip


def write_files():
    folder = pathlib.Path(tempfile.mkdtemp(prefix="lycheegauge-test-"))
    entry, other, leader = (folder / name for name in ("entry", "other", "leader"))
    entry.write_text(
        "\n".join(
            [
                "   1.2 entry-1 "
                + make_line(10.0, "entry-1", "request sent", request_id="r1"),
                "no log line {",
                make_line(9.0, "entry-1", "route table in force", version=4),
                make_line(1.0, "entry-1", "route table in force", version=3),
                make_line(
                    10.5, "entry-1", "request given up", request_id="r1",
                    reason="backend_server_failed",
                ),
                make_line(
                    10.7, "entry-1", "request given up", request_id="r2",
                    reason="lease_expired",
                ),
            ]
        )
    )  # fmt: skip
    other.write_text(make_line(10.2, "entry-2", "request sent", request_id="r1"))
    leader.write_text(make_line(10.1, "control-1", "committed", change="x"))
    return [entry, other, leader]


@behave.then(
    "the trace of a request shows its lines and earlier state changes in order"
)
def check_trace(context):
    trace = traces.format_trace("r1", traces.read_lines(write_files()))
    columns = [line.strip().split("  ") for line in trace]
    assert [(item[1], item[2]) for item in columns] == [
        ("entry-1", "route table in force"), ("entry-1", "request sent"),
        ("entry-2", "request sent"), ("entry-1", "request given up"),
    ], trace  # fmt: skip
    assert "+0 ms" in trace[1] and "+500 ms" in trace[3] and "-1000 ms" in trace[0]
    assert traces.format_trace("unknown", traces.read_lines(write_files())) == []


@behave.then("reasons are counted by second")
def check_reasons(context):
    counted = traces.count_reasons(traces.read_lines(write_files()))
    assert [line.split()[1:] for line in counted] == [
        ["1", "backend_server_failed"],
        ["1", "lease_expired"],
    ]


@behave.given("a log file whose last line is cut off, and a whole one")
def write_cut_file(context):
    context.files = write_files()[:2]
    cut, whole = context.files
    cut.write_text(cut.read_text()[:-9])
    whole.write_text(whole.read_text() + "\n")


@behave.then("the commands that read logs say which of the two is incomplete")
def check_cut_file(context):
    cut, whole = context.files
    for arguments in (("trace", "r1"), ("logs-summary",)):
        error = io.StringIO()
        with contextlib.redirect_stdout(io.StringIO()) as out:
            with contextlib.redirect_stderr(error):
                code = command.main([*arguments, str(cut), str(whole)])
        assert code == 0 and out.getvalue(), arguments
        assert f"{cut}: the last line is incomplete" in error.getvalue(), arguments
        assert str(whole) not in error.getvalue(), arguments


def collect_lines(run):
    """Runs a coroutine function and returns the lines that it logged."""
    stream = io.StringIO()
    writer = logs.LineWriter(stream)
    writer.start()
    loguru.logger.remove()
    loguru.logger.add(writer.write, level="INFO", format="{message}")
    asyncio.run(run())
    writer.close(5.0)
    return [json.loads(line) for line in stream.getvalue().splitlines()]


@behave.then("a failed task of a daemon logs an error")
def check_failed_task(context):
    starts = []

    async def fail_once():
        starts.append(1)
        if len(starts) == 1:
            raise RuntimeError("no such rank")

    async def run():
        async with asyncio.timeout(10):
            await lifecycle.start_task(fail_once)

    (line,) = collect_lines(run)
    assert len(starts) == 2, starts
    assert line["level"] == "ERROR" and "no such rank" in line["exception"], line
    assert "fail_once" in line["task"] and line["pause_s"] > 0, line


def make_route(name, repetition):
    return routetables.Route(
        name, "a.example", "/", (), repetition, 8.0, 0.4, 0.12, 1, 2, False
    )


@behave.then("each ended request is counted once by its route and the target it missed")
def check_outcomes(context):
    outcomes = requestoutcomes.RequestOutcomes()
    stream = make_route("drafts", routetables.Repetition.RESUMABLE_STREAM)
    plain = make_route("orders", routetables.Repetition.UNSAFE)
    outcomes.count_answered(stream, 0.3, 0.1)
    outcomes.count_answered(stream, 0.5, 0.5)
    outcomes.count_answered(stream, 0.3, 0.13)
    outcomes.count_answered(plain, 0.3, 0.13)
    outcomes.count_cancelled("drafts", has_started=False)
    outcomes.count_cancelled("drafts", has_started=True)
    outcomes.count("drafts", work.RefusalReason.OVERLOADED.value)
    assert outcomes.pop_counts() == {
        "drafts": {
            "on_time": 1, "first_token_late": 1, "pause_too_long": 1,
            "cancelled_waiting": 1, "cancelled_streaming": 1, "overloaded": 1,
        },
        "orders": {"on_time": 1},
    }  # fmt: skip
    assert outcomes.pop_counts() == {}


@behave.then("a stall of the event loop is logged with the work that caused it")
def check_stall(context):
    async def run():
        meter = workmeter.WorkMeter()
        meter.start()
        await asyncio.sleep(0)
        with meter.measure("plan_expert_maps"):
            time.sleep(workmeter.STALL_S + workmeter.CHECK_INTERVAL_S)
        await asyncio.sleep(2 * workmeter.CHECK_INTERVAL_S)
        await meter.close()

    line = collect_lines(run)[0]
    assert line["message"] == "event loop stalled", line
    assert line["stalled_s"] >= workmeter.STALL_S, line
    assert line["longest_work"] == "plan_expert_maps", line
