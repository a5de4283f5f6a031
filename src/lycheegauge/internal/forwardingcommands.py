"""The commands of a forwarding deployment: its roles, and reading its logs."""

import argparse
import asyncio
import importlib
import pathlib
import typing

from lycheegauge import settings
from lycheegauge.internal import traces

EXIT_DONE = 0
EXIT_NOT_FOUND = 1

ROLES = {
    "gateway": "an entry host that forwards requests as they are",
    "control": "a log host of a forwarding deployment",
    "engineagent": "the agent beside an engine of a lock-step group",
}


def add_roles(commands: typing.Any, settings_help: str) -> None:
    """Adds a command for each role."""
    for role, purpose in ROLES.items():
        daemon = commands.add_parser(role, help=f"run {purpose}")
        daemon.add_argument(
            "--settings", type=pathlib.Path, required=True, help=settings_help
        )
        daemon.set_defaults(run=run_role, role=role)


def add_log_readers(commands: typing.Any) -> None:
    """Adds the commands that read logs."""
    trace = commands.add_parser(
        "trace", help="join the log lines of several processes on one request"
    )
    trace.add_argument("id", help="the request's id")
    trace.add_argument("files", type=pathlib.Path, nargs="+", metavar="FILE")
    trace.set_defaults(run=trace_request)
    summary = commands.add_parser(
        "logs-summary", help="count given-up requests by second and reason"
    )
    summary.add_argument("files", type=pathlib.Path, nargs="+", metavar="FILE")
    summary.set_defaults(run=summarise_logs)


def run_role(options: argparse.Namespace) -> int:
    """Runs a role of a forwarding deployment until it is told to stop."""
    source = settings.SettingsSource(options.settings, options.role)
    # Registers the product's own words; an adapter registers others.
    importlib.import_module("lycheegauge.internal.protocol.nativedialect")
    # Only the role's own module is loaded: a host may have little memory.
    daemon = importlib.import_module(f"lycheegauge.internal.daemons.{options.role}")
    code: int = asyncio.run(getattr(daemon, f"run_{options.role}")(source))
    return code


def trace_request(options: argparse.Namespace) -> int:
    """Prints what happened to a request, and what its hosts came to believe."""
    story = traces.tell_request(options.id, traces.read_lines(options.files))
    for line in story:
        print(line)
    return EXIT_DONE if story else EXIT_NOT_FOUND


def summarise_logs(options: argparse.Namespace) -> int:
    """Prints how many requests were given up, by second and reason."""
    for line in traces.count_reasons(traces.read_lines(options.files)):
        print(line)
    return EXIT_DONE
