"""The command ``explain-route``: asks an entry host where a request would go now."""

import argparse
import json
import sys
import typing
import urllib.parse

import tornado.httpclient

EXIT_DONE = 0
EXIT_NO_ANSWER = 1
EXIT_USAGE = 2

PATH = "/explain-route"
CALL_TIMEOUT_S = 5.0

BAD_REQUEST = 400
OK = 200

EXIT_CODES = (
    "Exit codes: 0 the decision is printed, 1 the entry host can't be reached or gives "
    "no decision, 2 invalid usage."
)

SIZES = {
    "prompt_tokens": "tokens of the prompt",
    "answer_tokens": "most tokens of the answer",
    "length_hint": "the caller's estimate of the answer's tokens",
}


def add_command(commands: typing.Any, parse_address: typing.Any) -> None:
    """Adds the command.

    Args:
        commands: The commands of the parser.
        parse_address: Parses an address argument.
    """
    explain = commands.add_parser(
        "explain-route",
        help="show where a request would be sent now and why",
        epilog=EXIT_CODES,
    )
    explain.add_argument(
        "--host",
        type=parse_address,
        required=True,
        metavar="IP:PORT",
        help="metrics address of the entry host",
    )
    explain.add_argument(
        "--request-host", required=True, help="the request's Host header"
    )
    explain.add_argument("--path", required=True, help="the request's path")
    explain.add_argument(
        "--organisation", default="", help="the organisation that sends the request"
    )
    for name, purpose in SIZES.items():
        option = "--" + name.replace("_", "-")
        explain.add_argument(option, type=int, metavar="N", help=purpose)
    explain.add_argument("--json", action="store_true", help="print JSON")
    explain.set_defaults(run=explain_route)


def explain_route(options: argparse.Namespace) -> int:
    """Prints where a request would go now."""
    query = {
        "host": options.request_host,
        "path": options.path,
        "organisation": options.organisation,
        **{name: getattr(options, name) for name in SIZES},
    }
    given = {name: value for name, value in query.items() if value not in ("", None)}
    url = f"http://{options.host}{PATH}?{urllib.parse.urlencode(given)}"
    client = tornado.httpclient.HTTPClient()
    try:
        response = client.fetch(url, request_timeout=CALL_TIMEOUT_S, raise_error=False)
        document = json.loads(response.body or b"")
    except (OSError, tornado.httpclient.HTTPError, ValueError) as error:
        print(f"no answer from entry host {options.host}: {error}", file=sys.stderr)
        return EXIT_NO_ANSWER
    finally:
        client.close()
    if response.code == BAD_REQUEST:
        print(document.get("error", "the request is invalid"), file=sys.stderr)
        return EXIT_USAGE
    if response.code != OK:
        print(f"entry host {options.host}: status {response.code}", file=sys.stderr)
        return EXIT_NO_ANSWER
    if options.json:
        print(json.dumps(document, indent=2))
    else:
        for line in format_explanation(document):
            print(line)
    return EXIT_DONE


def format_explanation(document: dict[str, typing.Any]) -> list[str]:
    """Formats an explanation as lines of text."""
    confirmed = _format_age(document["table_age_s"])
    lines = [
        f"entry host {document['entry_host']}: route table "
        f"{document['table_version']}, confirmed {confirmed}, "
        f"lease for another {document['lease_left_s']:.2f} s",
        f"route: {document['route'] or 'none'}",
    ]
    if document["refusal"]:
        lines.append(f"refused: {document['refusal']}")
    for service in document["services"]:
        lines += _format_service(service)
    return lines


def _format_service(service: dict[str, typing.Any]) -> list[str]:
    size = ""
    if service["prompt_tokens"] is not None:
        size = (
            f", {service['prompt_tokens']} tokens to read, "
            f"{service['answer_tokens']} expected to be written"
        )
    lines = [
        f"service {service['service']} (weight {service['weight']:g}){size}",
        f"  admission: {_format_admission(service['admission'])}",
        f"  server: {service['chosen'] or 'none'}",
    ]
    return lines + [_format_server(server) for server in service["servers"]]


def _format_admission(admission: dict[str, typing.Any]) -> str:
    parts = [admission["decision"], f"priority {admission['priority']}"]
    if admission["level"] is not None:
        parts += _format_streams(admission)
    if admission["wait_s"]:
        parts.append(
            f"expected wait {admission['wait_s']:.2f} s, "
            f"allowed {admission['wait_max_s']:.2f} s"
        )
    if admission["reason"]:
        parts.append(admission["reason"])
    if admission["detail"]:
        parts.append(admission["detail"])
    if admission["retry_after_s"] is not None:
        parts.append(f"retry after {admission['retry_after_s']:.2f} s")
    return ", ".join(parts)


def _format_streams(admission: dict[str, typing.Any]) -> list[str]:
    """Formats what the admission of streams depends on."""
    limit, headroom = admission["capacity"], admission["headroom"]
    capacity = "no known capacity" if limit is None else f"capacity {limit:g}"
    is_modelled = admission["pass_age_s"] is None
    age = "modelled" if is_modelled else _format_age(admission["pass_age_s"])
    parts = [
        f"level {admission['level']} of {admission['levels']}",
        f"{admission['streams']:g} streams open "
        f"({_format_age(admission['streams_age_s'])})",
        capacity,
        f"pass {1000 * admission['pass_s']:.0f} ms ({age})",
    ]
    if headroom < 0:
        parts.append(f"may exceed the capacity by {-headroom:g}")
    else:
        parts.append(f"headroom {headroom:g}")
    if admission["ahead"]:
        parts.append(f"{admission['ahead']} wait ahead")
    return parts


def _format_server(server: dict[str, typing.Any]) -> str:
    facts = []
    if server["busy"] is not None:
        facts.append(f"{server['busy']:.2f} of its slots busy")
    if server["work_s"] is not None:
        facts.append(f"work {1000 * server['work_s']:.0f} ms")
        facts.append(f"holds {server['held_tokens']} tokens")
    if server["pace"] is not None:
        facts.append(f"pace {server['pace']:g}")
    facts += server["in_favour"] + server["against"]
    ages = [
        f"{name} {_format_age(server[key])}"
        for name, key in (
            ("counts", "counts_age_s"),
            ("stated load", "stated_age_s"),
            ("roster", "roster_age_s"),
        )
        if server[key] is not None
    ]
    known = f" [{', '.join(ages)}]" if ages else ""
    return (
        f"    {server['server']:20} {server['availability_zone']:12} "
        f"{server['verdict']:9} {'; '.join(facts)}{known}"
    )


def _format_age(age_s: float | None) -> str:
    return "never" if age_s is None else f"{age_s:.2f} s ago"
