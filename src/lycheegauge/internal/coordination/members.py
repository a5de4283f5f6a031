"""Members (backend servers and entry hosts) and the precedence of their records."""

import dataclasses
import random
import typing

from lycheegauge.internal.protocol import freshness

# With five log replicas pulled from in turn, each one gets a pull from an entry host
# every 2.5 s. A member's lease there must survive two lost pulls.
MEMBER_LEASE_S = 7.5
SOURCE_LEASE_S = 15.0
MAX_MEMBERS = 4096
BACKEND_SERVER_PREFIX = "backend_server/"
ENTRY_HOST_PREFIX = "entry_host/"

Member = freshness.BackendServer | freshness.EntryHost
SameMember = typing.TypeVar(
    "SameMember", freshness.BackendServer, freshness.EntryHost, Member
)


def format_incarnation(started_at_ns: int, generator: random.Random) -> str:
    """Returns an id for one start of a process that sorts after earlier starts.

    Args:
        started_at_ns: The host's wall clock at the start, in nanoseconds. It is
            used only to compare starts of one process on the same host. If that
            clock was set back, the later start is not recognised until the lease
            of the earlier one has expired.
        generator: Distinguishes two starts with the same clock reading.
    """
    return f"{started_at_ns:020d}-{generator.getrandbits(32):08x}"


def make_key(member: Member) -> str:
    """Returns a member's key, which is distinct even if both kinds share a name."""
    if isinstance(member, freshness.BackendServer):
        return BACKEND_SERVER_PREFIX + member.name
    return ENTRY_HOST_PREFIX + member.name


def merge_members(held: SameMember | None, offered: SameMember) -> SameMember:
    """Returns the record that takes precedence of two records of one member.

    The later incarnation takes precedence, then the higher version. If both are
    equal, the offered record does, but a member that is leaving keeps that state
    until its next start: a delayed record must not return it to service.
    """
    if held is None:
        return offered
    if _precedence(held) != _precedence(offered):
        return max(held, offered, key=_precedence)
    if held.leaving and not offered.leaving:
        return dataclasses.replace(offered, leaving=True)
    return offered


def _precedence(member: Member) -> tuple[str, int]:
    version = member.version if isinstance(member, freshness.BackendServer) else 0
    return member.incarnation, version
