"""Which headers pass through an entry host, and what it sets itself."""

import collections.abc

from lycheegauge.internal.protocol import controlcalls

Pairs = collections.abc.Iterable[tuple[str, str]]

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
"""Headers that concern only one connection (RFC 9110, section 7.6.1)."""


def pass_on_headers(headers: Pairs) -> list[tuple[str, str]]:
    """Drops the headers that concern only one connection."""
    pairs = list(headers)
    named = {
        option.strip().lower()
        for name, text in pairs
        if name.lower() == "connection"
        for option in text.split(",")
    }
    dropped = CONNECTION_HEADERS | named
    return [(name, text) for name, text in pairs if name.lower() not in dropped]


def make_request_headers(
    headers: Pairs,
    names: controlcalls.HeaderNames,
    body_size: int,
    method: str,
    own: collections.abc.Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    """Makes the headers for a backend server.

    Args:
        headers: The caller's headers.
        names: The border's header names.
        body_size: The size of the body, in bytes.
        method: The request's method.
        own: Headers that the entry host sets, whatever the caller sent.
    """
    replaced = {name.lower() for name in own}
    # A caller's own word on these would pass for the system's.
    replaced |= {
        "authorization",
        "content-length",
        names.organisation.lower(),
        names.expected_server.lower(),
        names.time_left_ms.lower(),
    }
    made = [
        (name, text)
        for name, text in pass_on_headers(headers)
        if name.lower() not in replaced
    ]
    if body_size or method in ("POST", "PUT", "PATCH"):
        made.append(("Content-Length", str(body_size)))
    return (*made, *own.items())
