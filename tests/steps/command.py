import asyncio
import contextlib
import io
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import threading

import behave
import tornado.httpserver
import tornado.ioloop
import tornado.netutil
import tornado.web
from support import gatewayhost

from lycheegauge import command, errors
from lycheegauge.internal.protocol import operations

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMANDS = (
    "entry", "agent", "local", "fake-backend-server", "init-disk", "check-settings",
    "plan", "confirm", "status", "explain", "replace-voter",
)  # fmt: skip
PLAN = {
    "plan_id": "p",
    "base_revision": 1,
    "intent": {"services": [{"name": "drafting", "kind": "model"}]},
    "effects": [],
    "capacity_left": [],
    "warnings": [],
    "refusals": [],
}
CONFIRMED = {"status": "accepted", "revision": 2}
STATUS = {
    "revision": 2,
    "in_force": True,
    "missing": [],
    "leader": "a",
    "voters": ["a"],
    "learners": [],
    "availability_zones_out": [],
    "backend_servers_out": [],
    "entry_hosts": [],
    "backend_servers": [],
}
FAILURES = {
    "a conflict": (409, errors.PlanConflictError),
    "a refused intent": (422, errors.IntentRefusedError),
    "a border error": (400, errors.BorderError),
    "that the log is away": (503, errors.LogUnavailableError),
    "lost leadership": (503, errors.LeadershipLostError),
}


def run(*arguments):
    """Runs a command and returns its exit code, standard output and error output."""
    out, error = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
        try:
            code = command.main([str(argument) for argument in arguments])
        except SystemExit as stop:
            code = stop.code
    return code, out.getvalue(), error.getvalue()


class FakeOperatorListener:
    """An operator listener that answers each path with a given status and body."""

    def __init__(self, answers):
        self._answers = answers
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()
        assert self._started.wait(20)

    def _serve(self):
        asyncio.set_event_loop(asyncio.new_event_loop())
        answers = self._answers

        class Handler(tornado.web.RequestHandler):
            def answer(self):
                name = self.request.path.split("/")[2]
                status, body = answers.get(name, answers.get(""))
                self.set_status(status)
                self.finish(body)

            get = post = answer

        application = tornado.web.Application([(r".*", Handler)])
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self._server = tornado.httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        self._loop = tornado.ioloop.IOLoop.current()
        self._loop.add_callback(self._started.set)
        self._loop.start()

    def close(self):
        self._loop.add_callback(self._server.stop)
        self._loop.add_callback(self._loop.stop)
        self._thread.join(20)


@behave.then("every lycheegauge command has help for each of its arguments")
def check_help(context):
    code, out, _ = run("--help")
    assert code == 0
    assert "3 the system can't be reached" in " ".join(out.split())
    listed = re.search(r"COMMAND\n(.*?)\n\n", out + "\n\n", re.DOTALL)
    for name in COMMANDS:
        assert name in out and listed, name
        code, described, _ = run(name, "--help")
        assert code == 0, name
        for line in described.splitlines():
            option = re.match(r"  (--?\S+|[a-z_]+)(, --\S+)?( [A-Z_]+)?$", line)
            following = described.split(line + "\n", 1)[1].splitlines()[:1]
            explained = following and following[0].startswith("      ")
            assert not option or explained, (name, line)
        assert "exit codes" in described.lower(), name


@behave.then("invalid usage of the command line exits with 2")
def check_usage(context):
    for arguments in ((), ("other",), ("plan",), ("status", "--no"), ("entry",)):
        code, _, error = run(*arguments)
        assert code == 2 and "usage:" in error, (arguments, code, error)
    for host in ("nonsense", "a b:1", "127.0.0.1:70000", "127.0.0.1"):
        code, _, error = run("status", "--host", host)
        assert code == 2 and "IP number and a port" in error, (host, code, error)
    for arguments in (("plan", "missing.json"), ("confirm", "missing.json")):
        code, _, error = run(*arguments)
        assert code == 2 and "missing.json" in error, (arguments, code, error)


@behave.then(
    "check-settings exits with 0 for the examples and 2 for a file with a typo"
)
def check_settings(context):
    files = [
        path for path in (ROOT / "examples").rglob("*.json")
        if path.name != "intent.json"
    ]  # fmt: skip
    code, out, error = run("check-settings", *files)
    assert (code, error) == (0, ""), error
    assert out.count("valid") == len(files)
    with tempfile.TemporaryDirectory() as folder:
        invalid = pathlib.Path(folder) / "wrong.json"
        invalid.write_text('{"entry": {"nme": "x"}}')
        code, out, error = run("check-settings", invalid, files[0])
    assert code == 2 and "valid" in out
    assert "wrong.json" in error and "entry.nme" in error


class BrokenOperatorListener:
    """An operator listener that breaks off each answer."""

    def __init__(self, reply):
        self._server = gatewayhost.ScriptedServer(lambda fields, target: reply)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._run(self._server.start())
        self.address = self._server.address

    def _run(self, coroutine):
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(20)

    def close(self):
        self._run(self._server.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(20)


HEAD = b"HTTP/1.1 200 OK\r\n"
HALF = b'{"revision": 2, "in_force": tr'
BROKEN_ANSWERS = {
    "half with a length": (HEAD + b"Content-Length: 60\r\n\r\n" + HALF, "close"),
    "half in chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1e\r\n" + HALF + b"\r\n", "close",
    ),
    "half with neither": (HEAD + b"\r\n" + HALF, "close"),
    "half, and is reset": (HEAD + b"\r\n" + HALF, "reset"),
    "nothing with neither": (HEAD + b"\r\n", "close"),
    "half of a head": (HEAD, "close"),
}  # fmt: skip


@behave.given("a fake operator listener that answers {answer}")
def start_fake_listener(context, answer):
    if answer == "as an entry host does":
        answers = {"plan": (200, PLAN), "confirm": (200, CONFIRMED)}
        answers["status"] = (200, STATUS)
    elif answer in FAILURES:
        status, kind = FAILURES[answer]
        document = operations.describe_error(kind("because", "step", "peer"))
        answers = {"": (status, operations.encode_document(document))}
    else:
        answers = {"": (200 if answer == "nothing" else 404, "<html>")}
    context.answers = answers
    if answer in BROKEN_ANSWERS:
        reply = gatewayhost.Reply(*BROKEN_ANSWERS[answer])
        context.fake = BrokenOperatorListener(reply)
    else:
        context.fake = FakeOperatorListener(answers)
    context.closers.append(context.fake.close)
    if answer == "nothing":
        context.fake.close()
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    context.intent = ROOT / "examples" / "first-trial" / "intent.json"
    context.plan = context.folder / "plan.json"
    context.plan.write_text(json.dumps(PLAN))


@behave.when("an operator runs status, explain, plan, confirm and replace-voter")
def run_commands(context):
    host = ("--host", context.fake.address)
    context.outcomes = [
        run(*arguments, *host)
        for arguments in (
            ("status",),
            ("explain", "r /../\n\u00e6?"),
            ("plan", context.intent),
            ("confirm", context.plan),
            ("replace-voter", "127.0.0.1:1", "127.0.0.1:2"),
        )
    ]


@behave.then("each of these commands exits with {code:d} and prints a clear message")
def check_codes(context, code):
    for given, out, error in context.outcomes:
        assert given == code, (given, out, error)
        assert error.strip() and "Traceback" not in error, error


@behave.then("plan, confirm and status exit with 0 and print valid JSON and text")
def check_done(context):
    host = ("--host", context.fake.address, "--json")
    written = context.folder / "written.json"
    for arguments, expected in (
        (("plan", context.intent, "--out", written), PLAN),
        (("confirm", written), CONFIRMED),
        (("status",), STATUS),
    ):
        code, out, error = run(*arguments, *host)
        assert (code, error) == (0, ""), (arguments, code, error)
        assert expected.items() <= {**json.loads(out), "intent": PLAN["intent"]}.items()
        code, out, _ = run(*arguments, *host[:2])
        assert code == 0 and out.strip(), arguments


@behave.then("a plan with refusals exits with 1")
def check_refused(context):
    unwritable = context.folder / "missing" / "plan.json"
    host = ("--host", context.fake.address)
    code, _, error = run("plan", context.intent, "--out", unwritable, *host)
    assert code == 2 and str(unwritable) in error, (code, error)
    context.answers["plan"] = (200, {**PLAN, "refusals": ["no"]})
    code, out, _ = run("plan", context.intent, *host)
    assert code == 1 and "refused: no" in out


@behave.then(
    "a command whose output is closed before it prints exits with 0 and no stack trace"
)
def check_closed_output(context):
    reader, writer = os.pipe()
    os.close(reader)
    examples = sorted(pathlib.Path("examples/first-trial").glob("entry-*.json"))
    completed = subprocess.run(
        [sys.executable, "-m", "lycheegauge.command", "check-settings", *examples],
        stdout=writer,
        stderr=subprocess.PIPE,
        timeout=60,
    )
    os.close(writer)
    assert (completed.returncode, completed.stderr) == (0, b""), completed
