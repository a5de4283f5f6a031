"""Leaves overloaded entry hosts out of the addresses that callers get."""

import collections.abc
import random

from lycheegauge.internal.protocol import roster

OVERLOAD_FACTOR = 1.5
"""How many times the mean of the open requests an overloaded host has."""

OVERLOAD_MIN_REQUESTS = 8
"""Open requests up to which a host is not overloaded, whatever the others have."""

LEFT_OUT_FRACTION_MAX = 1 / 3
REMAINING_MIN = 3
"""Callers keep an answer for some seconds, so those of the hosts that were left out
arrive at the others. The others must be able to take them."""


def list_preferred(
    hosts: collections.abc.Sequence[roster.HostListing],
    open_requests: collections.abc.Mapping[str, int],
    random_source: random.Random,
) -> list[roster.HostListing]:
    """Lists the hosts that callers should use.

    Args:
        hosts: The hosts that accept callers.
        open_requests: The open requests of the hosts of which they are known, by name.
        random_source: Draws which overloaded hosts are left out, if not all may be, so
            that callers with different answers spread over all hosts.
    """
    known = [open_requests[host.name] for host in hosts if host.name in open_requests]
    if not known:
        return list(hosts)
    limit = max(OVERLOAD_MIN_REQUESTS, OVERLOAD_FACTOR * sum(known) / len(known))
    overloaded = [host for host in hosts if open_requests.get(host.name, 0) > limit]
    most = min(int(len(hosts) * LEFT_OUT_FRACTION_MAX), len(hosts) - REMAINING_MIN)
    count = max(0, min(len(overloaded), most))
    left_out = {host.name for host in random_source.sample(overloaded, count)}
    return [host for host in hosts if host.name not in left_out]
