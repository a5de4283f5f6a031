"""Reads what servers state in answers that no request waits for any more.

When a caller has left or an attempt was given up, the server may still answer that it
leaves, that it wants no requests, or which limit it has. The host closes only its
sending side then, which ends the work at the server as a closed connection does, and
reads on.
"""

import asyncio
import contextlib

from lycheegauge import errors
from lycheegauge.internal.daemons import serverrecords
from lycheegauge.internal.protocol import roster
from lycheegauge.internal.transport import upstream

LISTEN_S = 1.0
"""How long an answer is waited for, in seconds. Servers refuse requests soon; what they
answer later is the result of a run."""

LISTENERS_MAX = 256
"""Connections that are kept for late answers; others are closed at once."""


class LateAnswers:
    """The attempts that were given up before their answers began.

    Args:
        records: Records what the answers state.
        request_id_header: Name of the header that names an answer's request.
    """

    def __init__(
        self, records: serverrecords.ServerRecords, request_id_header: str
    ) -> None:
        self._records = records
        self._request_id_header = request_id_header
        self._tasks: set[asyncio.Task[None]] = set()

    def end(
        self,
        server: roster.ServerListing,
        connection: upstream.UpstreamConnection,
        sent_at: float,
    ) -> None:
        """Ends an attempt; its answer is heard if it has not begun.

        Args:
            server: The attempt's server.
            connection: The attempt's connection, which is closed in any case.
            sent_at: When the request was sent, in seconds.
        """
        if len(self._tasks) >= LISTENERS_MAX:
            connection.abort()
        elif connection.hang_up():
            task = asyncio.create_task(self._listen(server, connection, sent_at))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        self._records.note_heard(server, sent_at)

    async def close(self) -> None:
        """Closes all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _listen(
        self,
        server: roster.ServerListing,
        connection: upstream.UpstreamConnection,
        sent_at: float,
    ) -> None:
        ended = (TimeoutError, errors.BackendServerFailedError)
        try:
            with contextlib.suppress(*ended):
                async with asyncio.timeout(LISTEN_S):
                    head = await connection.read_head()
                connection.check_answer_id(head.get(self._request_id_header))
                self._records.note_statement(server, head, is_late=True)
        finally:
            connection.abort()
            self._records.note_heard(server, sent_at)
