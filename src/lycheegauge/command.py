"""The command line interface: ``lycheegauge COMMAND``.

Exit codes: 0 success; 1 the request was refused or conflicts with another; 2 invalid
usage or settings; 3 the system can't be reached or can't answer now.
"""

import argparse
import asyncio
import os
import pathlib
import sys
import typing
import urllib.parse
import uuid

import pydantic
import tornado.httpclient
from returns import result

from lycheegauge import errors, settings
from lycheegauge.internal import explainroute, forwardingcommands
from lycheegauge.internal.protocol import changes, intents, operations

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3

CALL_TIMEOUT_S = 10.0
DEFAULT_HOST = "127.0.0.1:7200"

EXIT_CODES = (
    "Exit codes: 0 success, 1 refused or conflict, 2 invalid usage or settings, "
    "3 the system can't be reached or can't answer now."
)
SETTINGS_HELP = "settings file, JSON with comments; see 'check-settings'"


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code."""
    options = make_parser().parse_args(arguments)
    try:
        code: int = options.run(options)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output, such as "head", has closed it. Python flushes
        # standard output again at exit, which would print a stack trace, so it is
        # redirected to the null device.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_DONE
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except errors.LycheegaugeError as error:
        print(error, file=sys.stderr)
        return EXIT_UNAVAILABLE
    return code


def make_parser() -> argparse.ArgumentParser:
    """Creates the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="lycheegauge",
        description="Balances expert-parallel model groups and plain services.",
        epilog=EXIT_CODES,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_daemon_commands(commands)
    _add_operator_commands(commands)
    for command in commands.choices.values():
        command.epilog = command.epilog or EXIT_CODES
    return parser


def parse_address(text: str) -> str:
    """Parses an address argument.

    Raises:
        argparse.ArgumentTypeError: It is not an IP address and a port.
    """
    try:
        address: str = pydantic.TypeAdapter(settings.Address).validate_python(text)
    except pydantic.ValidationError as error:
        raise argparse.ArgumentTypeError(error.errors()[0]["msg"]) from error
    return address


def _add_daemon_commands(commands: typing.Any) -> None:
    entry = commands.add_parser("entry", help="run an entry host")
    entry.add_argument(
        "--settings", type=pathlib.Path, required=True, help=SETTINGS_HELP
    )
    entry.set_defaults(run=run_entry)
    agent = commands.add_parser("agent", help="run the agent of a backend server host")
    agent.add_argument(
        "--settings", type=pathlib.Path, required=True, help=SETTINGS_HELP
    )
    agent.set_defaults(run=run_agent)
    forwardingcommands.add_role_commands(commands, SETTINGS_HELP)
    local = commands.add_parser(
        "local", help="run a small demonstration system in one process"
    )
    local.add_argument(
        "--stay", action="store_true", help="keep running after the demonstration"
    )
    local.set_defaults(run=run_local)
    fake = commands.add_parser(
        "fake-backend-server", help="run a fake backend server for trials"
    )
    fake.add_argument("--announce-to", required=True, help="the agent's IP:PORT")
    fake.add_argument("--service", required=True, help="the service that it provides")
    fake.add_argument(
        "--engine", default="completions", help="engine adapter to announce"
    )
    fake.add_argument("--address", default="127.0.0.1:0", help="IP:PORT to listen on")
    fake.add_argument("--tokens", type=int, default=20, help="tokens in each answer")
    fake.add_argument(
        "--token-interval-s", type=float, default=0.005, help="seconds between tokens"
    )
    fake.add_argument(
        "--capacity", type=int, default=16, help="concurrent requests it announces"
    )
    fake.add_argument(
        "--call-time-s",
        type=float,
        default=0.01,
        help="duration of a plain call in seconds",
    )
    fake.add_argument("--group", default="", help="the model group that it belongs to")
    fake.add_argument("--rank", type=int, default=-1, help="its rank in the group")
    fake.set_defaults(run=run_fake)
    initialise = commands.add_parser(
        "init-disk", help="write a log voter's identity to its empty data folder"
    )
    initialise.add_argument(
        "--settings", type=pathlib.Path, required=True, help=SETTINGS_HELP
    )
    initialise.set_defaults(run=initialise_disk)


def _add_operator_commands(commands: typing.Any) -> None:
    forwardingcommands.add_log_commands(commands)
    explainroute.add_command(commands, parse_address)
    check = commands.add_parser("check-settings", help="check settings files")
    check.add_argument(
        "files", type=pathlib.Path, nargs="+", metavar="FILE", help="settings file"
    )
    check.set_defaults(run=check_settings)
    plan = commands.add_parser(
        "plan", help="show what an intent would change, without changing anything"
    )
    plan.add_argument("intent", type=pathlib.Path, help="intent file")
    plan.add_argument("--out", type=pathlib.Path, help="file to write the plan to")
    plan.set_defaults(run=make_plan)
    confirm = commands.add_parser("confirm", help="apply a plan")
    confirm.add_argument(
        "plan", type=pathlib.Path, help="plan file written by 'plan --out'"
    )
    confirm.add_argument(
        "--request-id", help="id that makes a resend safe (default: the plan's id)"
    )
    confirm.set_defaults(run=confirm_plan)
    status = commands.add_parser(
        "status", help="show hosts, backend servers and where the revision is in force"
    )
    status.set_defaults(run=show_status)
    explain = commands.add_parser(
        "explain", help="show how a request was routed and why"
    )
    explain.add_argument(
        "request_id", help="Lycheegauge-Request-Id header of the call or its answer"
    )
    explain.set_defaults(run=explain_request)
    replace = commands.add_parser("replace-voter", help="replace a voter of the log")
    replace.add_argument("old_host", help="peer IP:PORT of the voter to remove")
    replace.add_argument("new_host", help="peer IP:PORT of the host to add")
    replace.set_defaults(run=replace_voter)
    for command in (plan, confirm, status, explain, replace):
        command.add_argument(
            "--host",
            type=parse_address,
            default=DEFAULT_HOST,
            help=f"operator IP:PORT of any entry host (default {DEFAULT_HOST})",
        )
        command.add_argument("--json", action="store_true", help="print JSON")


def run_entry(options: argparse.Namespace) -> int:
    """Runs an entry host until it is stopped."""
    from lycheegauge.internal.daemons import processes

    entry_settings = settings.read_settings(options.settings).entry
    if entry_settings is None:
        raise errors.SettingsError(f"{options.settings}: has no key 'entry'")
    return asyncio.run(processes.run_entry(entry_settings))


def run_agent(options: argparse.Namespace) -> int:
    """Runs an agent until it is stopped."""
    from lycheegauge.internal.daemons import processes

    agent_settings = settings.read_settings(options.settings).agent
    if agent_settings is None:
        raise errors.SettingsError(f"{options.settings}: has no key 'agent'")
    return asyncio.run(processes.run_agent(agent_settings))


def run_local(options: argparse.Namespace) -> int:
    """Runs a small demonstration system in one process."""
    from lycheegauge.internal.daemons import local

    return asyncio.run(local.run_local(stay=options.stay))


def run_fake(options: argparse.Namespace) -> int:
    """Runs a fake backend server until it is stopped."""
    from lycheegauge.internal.daemons import fakeserver, processes

    fake = fakeserver.FakeSettings(
        service=options.service,
        engine=options.engine,
        announce_to=options.announce_to,
        address=options.address,
        capacity=options.capacity,
        tokens=options.tokens,
        token_interval_s=options.token_interval_s,
        call_time_s=options.call_time_s,
        group=options.group,
        rank=options.rank,
    )
    return asyncio.run(processes.run_fake(fake))


def initialise_disk(options: argparse.Namespace) -> int:
    """Writes the identity from the settings to an empty data folder."""
    from lycheegauge.internal.daemons import processes

    entry_settings = settings.read_settings(options.settings).entry
    if entry_settings is None or entry_settings.log is None:
        raise errors.SettingsError(f"{options.settings}: has no key 'entry.log'")
    processes.initialise_disk(entry_settings)
    print(f"{entry_settings.log.data_folder} is ready")
    return EXIT_DONE


def check_settings(options: argparse.Namespace) -> int:
    """Validates settings files and prints the result for each."""
    code = EXIT_DONE
    for path in options.files:
        try:
            settings.read_settings(path)
        except errors.SettingsError as error:
            print(error, file=sys.stderr)
            code = EXIT_USAGE
            continue
        print(f"{path}: valid")
    return code


def make_plan(options: argparse.Namespace) -> int:
    """Requests the plan of an intent and prints it."""
    body = read_file(options.intent)
    outcome = call_entry_host(options.host, "POST", "/v1/plan", intents.Plan, body)
    if isinstance(outcome, result.Failure):
        return report_error(outcome.failure(), options.json)
    plan = outcome.unwrap()
    if options.out:
        write_file(options.out, operations.encode_document(plan))
    if options.json:
        print(operations.encode_document(plan).decode())
    else:
        print_plan(plan, options.out)
    return EXIT_REFUSED if plan.refusals else EXIT_DONE


def print_plan(plan: intents.Plan, out: pathlib.Path | None) -> None:
    """Prints a plan as text."""
    print(f"plan {plan.plan_id} on revision {plan.base_revision}")
    for effect in plan.effects:
        print(f"  {effect.subject}: {effect.description}")
    for remaining in plan.capacity_left:
        print(
            f"  {remaining.service}: {remaining.capacity} concurrent requests left on "
            f"{remaining.backend_servers} backend servers, {remaining.needed} needed"
        )
    for warning in plan.warnings:
        print(f"  warning: {warning}")
    for refusal in plan.refusals:
        print(f"  refused: {refusal}")
    if out and not plan.refusals:
        print(f"nothing has changed yet; confirm with: lycheegauge confirm {out}")


def confirm_plan(options: argparse.Namespace) -> int:
    """Confirms a plan and prints the outcome."""
    plan = operations.parse_document(intents.Plan, read_file(options.plan))
    if isinstance(plan, result.Failure):
        raise errors.SettingsError(f"{options.plan}: {plan.failure()}")
    request_id = options.request_id or plan.unwrap().plan_id
    body = operations.ConfirmBody(request_id=request_id, plan=plan.unwrap())
    outcome = call_entry_host(
        options.host,
        "POST",
        "/v1/confirm",
        changes.ConfirmOutcome,
        body.model_dump_json().encode(),
    )
    if isinstance(outcome, result.Failure):
        return report_error(outcome.failure(), options.json)
    confirmed = outcome.unwrap()
    if options.json:
        print(operations.encode_document(confirmed).decode())
    else:
        print(f"confirmed as revision {confirmed.revision}")
    return EXIT_DONE


def show_status(options: argparse.Namespace) -> int:
    """Prints the status of the whole system."""
    outcome = call_entry_host(
        options.host, "GET", "/v1/status", operations.StatusDocument, None
    )
    if isinstance(outcome, result.Failure):
        return report_error(outcome.failure(), options.json)
    document = outcome.unwrap()
    if options.json:
        print(operations.encode_document(document).decode())
    else:
        print_status(document)
    return EXIT_DONE


def print_status(document: operations.StatusDocument) -> None:
    """Prints the status as text."""
    enforcement = (
        "in force everywhere" if document.in_force else "not in force everywhere"
    )
    print(f"revision {document.revision}, {enforcement}; log leader {document.leader}")
    print(f"voters: {', '.join(document.voters)}")
    if document.learners:
        print(f"learners: {', '.join(document.learners)}")
    for name in document.missing:
        print(f"not yet in force at: {name}")
    for zone in document.availability_zones_out:
        print(f"availability zone out: {zone}")
    for member in document.entry_hosts + document.backend_servers:
        flags = " leaving" * member.leaving + " out" * member.out
        print(
            f"  {member.name:24} {member.availability_zone:16} "
            f"revision {member.revision:<6} {member.detail}{flags}"
        )


def explain_request(options: argparse.Namespace) -> int:
    """Prints the recorded steps of a request."""
    path = f"/v1/explain/{urllib.parse.quote(options.request_id, safe='')}"
    outcome = call_entry_host(options.host, "GET", path, operations.Explanation, None)
    if isinstance(outcome, result.Failure):
        return report_error(outcome.failure(), options.json)
    explanation = outcome.unwrap()
    if options.json:
        print(operations.encode_document(explanation).decode())
        return EXIT_DONE
    print(
        f"{explanation.request_id}: {explanation.organisation}, {explanation.service}"
    )
    for step in explanation.steps:
        print(f"  {step.at_s * 1000:9.1f} ms  {step.step:12} {step.peer} {step.detail}")
    return EXIT_DONE


def replace_voter(options: argparse.Namespace) -> int:
    """Replaces a voter of the replicated log."""
    body = operations.ReplaceVoterBody(
        request_id=uuid.uuid4().hex,
        old_host=options.old_host,
        new_host=options.new_host,
    )
    outcome = call_entry_host(
        options.host,
        "POST",
        "/v1/replace-voter",
        operations.StatusDocument,
        body.model_dump_json().encode(),
    )
    if isinstance(outcome, result.Failure):
        return report_error(outcome.failure(), options.json)
    if options.json:
        print(operations.encode_document(outcome.unwrap()).decode())
    else:
        print_status(outcome.unwrap())
    return EXIT_DONE


def write_file(path: pathlib.Path, content: bytes) -> None:
    """Writes a file whose path was given on the command line.

    Raises:
        errors.SettingsError: The file can't be written.
    """
    try:
        path.write_bytes(content)
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise errors.SettingsError(message, "write file") from error


def read_file(path: pathlib.Path) -> bytes:
    """Reads a file whose path was given on the command line.

    Raises:
        errors.SettingsError: The file can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}", "read file") from error


def call_entry_host(
    host: str, method: str, path: str, document_type: type, body: bytes | None
) -> result.Result[typing.Any, operations.ErrorDocument]:
    """Calls an entry host's operator interface.

    Returns:
        The answer's document of type ``document_type``, or the error document.

    Raises:
        errors.PeerUnreachableError: The entry host gave no complete answer, or
            something other than a document. The call may have taken effect.
    """
    client = tornado.httpclient.HTTPClient()
    try:
        response = client.fetch(
            f"http://{host}{path}",
            method=method,
            body=body,
            request_timeout=CALL_TIMEOUT_S,
            raise_error=False,
        )
    except (OSError, tornado.httpclient.HTTPError) as error:
        raise errors.PeerUnreachableError(
            f"no complete answer: {error}", "call entry host", host
        ) from error
    finally:
        client.close()
    if response.code == 200:
        answer: result.Result[typing.Any, errors.BorderError] = (
            operations.parse_document(document_type, response.body)
        )
        if isinstance(answer, result.Failure):
            message = f"the answer is incomplete or malformed: {answer.failure()}"
            raise errors.PeerUnreachableError(message, "call entry host", host)
        return result.Success(answer.unwrap())
    document = operations.parse_document(operations.ErrorDocument, response.body or b"")
    if isinstance(document, result.Failure):
        message = f"status {response.code} {response.reason}"
        raise errors.PeerUnreachableError(message, "call entry host", host)
    return result.Failure(document.unwrap())


def report_error(document: operations.ErrorDocument, as_json: bool) -> int:
    """Prints an error and returns its exit code."""
    if as_json:
        print(operations.encode_document(document).decode())
    else:
        where = " at ".join(part for part in (document.step, document.peer) if part)
        print(f"{document.error}: {document.message} [{where}]", file=sys.stderr)
        if document.plan is not None:
            print("a fresh plan on the current revision:", file=sys.stderr)
            print_plan(document.plan, None)
    return get_exit_code(document.error)


def get_exit_code(error: str) -> int:
    """Returns the exit code for an error's class name."""
    if error in ("LogUnavailableError", "PeerUnreachableError", "LeadershipLostError"):
        return EXIT_UNAVAILABLE
    return EXIT_USAGE if error == "BorderError" else EXIT_REFUSED


if __name__ == "__main__":
    sys.exit(main())
