"""Freshness proofs that a log replica issues while it is the leader."""

import asyncio
import collections.abc

from returns import result

from lycheegauge.internal.coordination import leases
from lycheegauge.internal.daemons import replication
from lycheegauge.internal.protocol import agreement, freshness
from lycheegauge.internal.transport import clock


class LeaderProofs:
    """Issues freshness proofs after a quorum has confirmed the leadership.

    Concurrent requests share one confirmation.

    Args:
        get_task: Returns the replica's current task; tasks may be replaced.
        timeout_s: Maximum wait for a confirmation, in seconds.
        interval_s: Minimum time between two confirmations, in seconds.
    """

    def __init__(
        self,
        get_task: collections.abc.Callable[[], replication.ReplicationTask],
        timeout_s: float,
        interval_s: float = leases.CONFIRMATION_INTERVAL_S,
    ) -> None:
        self._get_task = get_task
        self._timeout_s = timeout_s
        self._issuer = leases.ProofIssuer(interval_s)
        self._read_tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancels the confirmations in progress."""
        for task in self._read_tasks:
            task.cancel()

    async def confirm_leadership(self, requested_at: float) -> None:
        """Requests a confirmation and waits for it, if one is due."""
        read_id = self._issuer.begin_read(requested_at)
        if read_id is not None:
            task = asyncio.create_task(self._read(read_id))
            self._read_tasks.add(task)
            task.add_done_callback(self._read_tasks.discard)
            await asyncio.wait([task], timeout=self._timeout_s)

    def issue_proof(self, revision: int, log_time_s: float) -> freshness.Proof | None:
        """Returns a proof for a revision that this replica has applied.

        ``None`` when no recent confirmation covers the applied state.
        """
        applied = leases.AppliedState(
            self._get_task().applied_index, revision, log_time_s
        )
        return self._issuer.make_proof(applied, clock.read_clock())

    async def _read(self, read_id: str) -> None:
        outcome = await self._get_task().read()
        if isinstance(outcome, result.Success):
            done = agreement.ReadDone(read_id, outcome.unwrap())
        else:
            done = agreement.ReadDone(read_id, 0, str(outcome.failure()))
        self._issuer.finish_read(done)
