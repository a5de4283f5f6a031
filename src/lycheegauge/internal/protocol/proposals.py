"""Calls to a log replica: proposals and status requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A packed change to commit; a resend keeps its ``proposal_id``."""

    proposal_id: str
    change: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalReply:
    """The packed outcome, or an error's name and the leader's address if known."""

    outcome: bytes = b""
    error: str = ""
    leader_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VoterReplacement:
    """Replaces the voter on one host with the replica on another."""

    old_host: str
    new_host: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Requests the status of a process."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """A status document in JSON; empty if the process has none to report."""

    document: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message was received; nothing else is guaranteed."""
