"""Bounds how long what a process reads has waited at its sockets.

While a process stands still, its system goes on accepting what others send. Once the
process runs again it reads messages whose senders may have left long ago, and nothing
in a message tells. The time of its last round of work before that does.
"""

import collections
import math

READ_WITHIN_S = 0.4
"""Time in which a running process reads what has arrived, in seconds."""


class ArrivalBounds:
    """Remembers when a process ran, from the regular rounds of one of its loops."""

    def __init__(self) -> None:
        self._rounds: collections.deque[float] = collections.deque()

    def note_round(self, now: float) -> None:
        """Records that the process runs at a time, in seconds."""
        self._rounds.append(now)
        while len(self._rounds) > 1 and self._rounds[1] <= now - READ_WITHIN_S:
            self._rounds.popleft()

    def find_earliest(self, read_at: float) -> float:
        """Finds the earliest time at which a message may have arrived, in seconds.

        Args:
            read_at: When it was read, in seconds; not before the last round.
        """
        earliest = -math.inf
        for at in self._rounds:
            if at > read_at - READ_WITHIN_S:
                break
            earliest = at
        return earliest
