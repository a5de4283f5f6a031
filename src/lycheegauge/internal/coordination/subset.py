"""Chooses the subset of backend servers that an entry host uses.

For each service and availability zone the servers form a ring in the order of their
hashes; the entry hosts are ordered by hash as well. The host at position ``r`` of
``n`` uses a contiguous range of servers that starts at ``r / n`` of the ring. Ranges
overlap, all servers of a zone are covered by the same number of hosts (give or take
one for rounding), and a change of one member moves each range by few places.
Rendezvous hashing was considered and not used: its choices are independent, so some
servers get twice the mean number of hosts and a few get none.
"""

import collections.abc
import math

import xxhash

from lycheegauge.internal.protocol import freshness

SUBSET_SIZE = 36


def choose_servers(
    entry_host: str,
    entry_hosts: collections.abc.Collection[str],
    servers: collections.abc.Iterable[freshness.BackendServer],
    size: int = SUBSET_SIZE,
) -> list[freshness.BackendServer]:
    """Chooses an entry host's servers, about ``size`` of each service.

    Args:
        entry_host: The host that chooses; added to ``entry_hosts`` if it is missing.
        entry_hosts: Names of all entry hosts.
        servers: All backend servers.
        size: Number of servers per service, divided among availability zones in
            proportion. More are chosen where some servers would otherwise be left
            without a host.
    """
    hosts = sorted({*entry_hosts, entry_host}, key=_hash)
    position = hosts.index(entry_host)
    rings: dict[str, dict[str, list[freshness.BackendServer]]] = {}
    for server in servers:
        zones = rings.setdefault(server.service, {})
        zones.setdefault(server.availability_zone, []).append(server)
    chosen: list[freshness.BackendServer] = []
    for zones in rings.values():
        total = sum(len(ring) for ring in zones.values())
        for ring in zones.values():
            wanted = math.ceil(size * len(ring) / total)
            chosen += _select_range(ring, position, len(hosts), wanted)
    return chosen


def _select_range(
    ring: list[freshness.BackendServer], position: int, hosts: int, wanted: int
) -> list[freshness.BackendServer]:
    servers = len(ring)
    # Each range must reach the start of the next one; otherwise the servers between
    # them would have no host.
    length = min(servers, max(wanted, math.ceil(servers / hosts)))
    if length == servers:
        return ring
    ordered = sorted(ring, key=lambda server: _hash(server.name))
    start = position * servers // hosts
    return [ordered[(start + offset) % servers] for offset in range(length)]


def _hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
