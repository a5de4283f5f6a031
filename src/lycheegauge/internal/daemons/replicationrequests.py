"""Requests to a replication task and their pending answers."""

import asyncio
import dataclasses
import typing

from returns import result

from lycheegauge import errors
from lycheegauge.internal.coordination.agreement import refusals
from lycheegauge.internal.protocol import agreement

MAX_WAITING_REQUESTS = 10_000

Answer: typing.TypeAlias = result.Result[typing.Any, errors.LycheegaugeError]


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """The write in progress is synced to the disk."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFailed:
    """The write in progress failed."""

    error: errors.StorageFailedError


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A packed change to commit."""

    proposal_id: str
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipProposal:
    """A membership to commit."""

    proposal_id: str
    membership: agreement.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A request for a commit index that a quorum confirms."""

    read_id: str


class PendingRequests:
    """Tracks the requests that wait for an answer."""

    def __init__(self) -> None:
        self._count = 0
        self._pending: dict[str, asyncio.Future[Answer]] = {}

    def allocate_id(self) -> str:
        """Returns an id that no other request of this task has."""
        self._count += 1
        return str(self._count)

    def find_refusal(self) -> errors.LycheegaugeError | None:
        """Returns an error if too many requests are waiting, else ``None``."""
        if len(self._pending) < MAX_WAITING_REQUESTS:
            return None
        message = (
            f"{MAX_WAITING_REQUESTS} requests are waiting for the log; retry later"
        )
        return errors.LogUnavailableError(message, "replicate")

    def add(self, request_id: str) -> asyncio.Future[Answer]:
        """Registers a request and returns the future of its answer."""
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        return future

    def answer(self, request_id: str, answer: Answer) -> None:
        """Answers a request, unless its caller has stopped waiting."""
        future = self._pending.pop(request_id, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def fail_all(self, error: errors.LycheegaugeError) -> None:
        """Answers every request with an error."""
        for request_id in list(self._pending):
            self.answer(request_id, result.Failure(error))


def make_error(refusal: str, peer: str) -> errors.LycheegaugeError:
    """Returns the error for a refusal; ``peer`` is the leader's host, if known."""
    match refusal:
        case refusals.Refusal.NOT_LEADER:
            message = (
                f"{refusal}; retry with {peer or 'the leader once one is elected'}"
            )
            return errors.NotLeaderError(message, "replicate", peer)
        case refusals.Refusal.LEADERSHIP_LOST:
            message = f"{refusal}; retry with the same request id"
            return errors.LeadershipLostError(message, "replicate", peer)
    return errors.LogUnavailableError(f"{refusal}; retry", "membership", peer)
