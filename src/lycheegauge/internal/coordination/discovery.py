"""Chooses the entry hosts that a discovery response lists, and their order.

Alternatives considered for a fleet of 420: listing all hosts (about 50 KB per
response, and every refusal carries the list too), listing only the nearest (when
one zone is lost, its callers have no other address to try), and a bounded sample
of each zone, which is implemented here. A new sample is drawn for each response,
so that callers spread over all hosts.
"""

import collections
import collections.abc
import random

from lycheegauge.internal.protocol import freshness

OWN_ZONE_ENTRIES = 8
"""Entries listed from the caller's availability zone; more only add bytes."""

OTHER_ZONE_ENTRIES = 2
"""Entries listed from each other zone, so that losing a single host leaves one."""

MAX_ENTRIES = 24
"""Total entries listed, about 2 KB of JSON, regardless of the number of zones."""


def choose_entries(
    hosts: collections.abc.Iterable[freshness.EntryHost],
    availability_zones_out: collections.abc.Collection[str],
    availability_zone: str,
    generator: random.Random,
) -> tuple[freshness.EntryHost, ...]:
    """Chooses the entry hosts to list, best first.

    Leaving hosts are never listed. Hosts of a zone that is out of service are
    listed only when there is no other host: an address that may not work is
    better for a caller than none. When the caller's zone is unknown or has no
    host, the first of the other zones, in random order, takes its place.

    Args:
        hosts: All known entry hosts.
        availability_zones_out: The zones that operators have taken out of service.
        availability_zone: The caller's zone; empty if the caller did not give one.
        generator: The random generator for the order of hosts within a zone and of
            the other zones.
    """
    usable = [host for host in hosts if not host.leaving]
    serving = [
        host for host in usable if host.availability_zone not in availability_zones_out
    ]
    by_zone: dict[str, list[freshness.EntryHost]] = collections.defaultdict(list)
    for host in serving or usable:
        by_zone[host.availability_zone].append(host)
    zones = list(by_zone)
    generator.shuffle(zones)
    zones.sort(key=lambda zone: zone != availability_zone)
    listed: list[freshness.EntryHost] = []
    for position, zone in enumerate(zones):
        count = OTHER_ZONE_ENTRIES if position else OWN_ZONE_ENTRIES
        listed += generator.sample(by_zone[zone], min(count, len(by_zone[zone])))
    return tuple(listed[:MAX_ENTRIES])
