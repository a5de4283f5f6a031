"""Selects the headers that an entry host forwards, and adds its own."""

import collections.abc

from lycheegauge.internal.protocol import controlcalls

Pairs = collections.abc.Iterable[tuple[str, str]]

HOP_BY_HOP_HEADERS = frozenset(
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
"""Hop-by-hop headers (RFC 9110, section 7.6.1)."""


def strip_hop_by_hop(headers: Pairs) -> list[tuple[str, str]]:
    """Removes hop-by-hop headers, including those that ``Connection`` names."""
    pairs = list(headers)
    named = {
        option.strip().lower()
        for name, text in pairs
        if name.lower() == "connection"
        for option in text.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | named
    return [(name, text) for name, text in pairs if name.lower() not in dropped]


def make_request_headers(
    headers: Pairs,
    names: controlcalls.HeaderNames,
    body_size: int,
    method: str,
    overrides: collections.abc.Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    """Builds the headers of a request to a backend server.

    Args:
        headers: The caller's headers.
        names: Header names of the configured dialect.
        body_size: Size of the body in bytes.
        method: HTTP method of the request.
        overrides: Headers that the entry host sets; they replace the caller's.
    """
    replaced = {name.lower() for name in overrides}
    # Backend servers trust these headers, so a caller must not be able to set them.
    replaced |= {
        "authorization",
        "content-length",
        names.organisation.lower(),
        names.expected_server.lower(),
        names.time_left_ms.lower(),
    }
    kept = [
        (name, text)
        for name, text in strip_hop_by_hop(headers)
        if name.lower() not in replaced
    ]
    if body_size or method in ("POST", "PUT", "PATCH"):
        kept.append(("Content-Length", str(body_size)))
    return (*kept, *overrides.items())
