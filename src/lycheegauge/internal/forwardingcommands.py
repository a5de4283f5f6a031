"""Commands of a forwarding deployment: running its roles and reading its logs."""

import argparse
import asyncio
import importlib
import pathlib
import sys
import typing

from lycheegauge import settings
from lycheegauge.internal import traces

EXIT_DONE = 0
EXIT_NOT_FOUND = 1

ROLES = {
    "gateway": "an entry host that forwards requests unchanged",
    "control": "a log host of a forwarding deployment",
    "engineagent": "the agent beside an engine of a lock-step group",
}


def add_role_commands(commands: typing.Any, settings_help: str) -> None:
    """Adds one command for each role."""
    for role, purpose in ROLES.items():
        daemon = commands.add_parser(role, help=f"run {purpose}")
        daemon.add_argument(
            "--settings", type=pathlib.Path, required=True, help=settings_help
        )
        daemon.set_defaults(run=run_role, role=role)


def add_log_commands(commands: typing.Any) -> None:
    """Adds the commands that read logs."""
    trace = commands.add_parser(
        "trace", help="show the log lines of one request from several processes"
    )
    trace.add_argument("id", help="the request id")
    trace.add_argument("files", type=pathlib.Path, nargs="+", metavar="FILE")
    trace.set_defaults(run=trace_request)
    summary = commands.add_parser(
        "logs-summary", help="count the requests given up, by second and reason"
    )
    summary.add_argument("files", type=pathlib.Path, nargs="+", metavar="FILE")
    summary.set_defaults(run=summarise_logs)


def run_role(options: argparse.Namespace) -> int:
    """Runs a role of a forwarding deployment until it is stopped."""
    source = settings.SettingsSource(options.settings, options.role)
    # Registers the native dialects; a platform adapter registers its own.
    importlib.import_module("lycheegauge.internal.protocol.nativedialect")
    # Imports only the role's own module, because a host may have little memory.
    daemon = importlib.import_module(f"lycheegauge.internal.daemons.{options.role}")
    code: int = asyncio.run(getattr(daemon, f"run_{options.role}")(source))
    return code


def read_logs(files: list[pathlib.Path]) -> list[traces.LogLine]:
    """Reads the lines of log files, and names those that are cut off."""
    for path in files:
        if traces.is_cut_off(path):
            print(f"{path}: the last line is incomplete", file=sys.stderr)
    return traces.read_lines(files)


def trace_request(options: argparse.Namespace) -> int:
    """Prints a request's log lines, and what its hosts logged shortly before."""
    trace = traces.format_trace(options.id, read_logs(options.files))
    for line in trace:
        print(line)
    return EXIT_DONE if trace else EXIT_NOT_FOUND


def summarise_logs(options: argparse.Namespace) -> int:
    """Prints the number of requests given up, by second and reason."""
    for line in traces.count_reasons(read_logs(options.files)):
        print(line)
    return EXIT_DONE
