"""Decides what gives way when an entry host holds too many bytes for others.

Callers and servers that don't read make the host hold what is sent to them. Each
connection has a share, above which reading from the other side pauses. The bound over
all connections counts as reached a little below its value: the rest stays free for
requests that hold few bytes, so that they are served while others are stalled.
"""

import collections.abc
import typing

REACHED_FRACTION = 0.875
"""Fraction of the bound from which on it counts as reached."""

SMALL_BODY_BYTES = 65_536
"""Request bodies up to this size are also accepted when the bound is reached."""

REDUCED_SHARE_BYTES = 16_384
"""Least share of a connection, in force when the bound is reached. An ordinary stream
holds less, so that it goes on without a pause."""

FREE_FRACTION = 0.125
"""Upper limit on a connection's share as a fraction of what is still free. Without it,
many connections that read at the same moment pass the bound before they pause."""

STALLED_S = 1.0
"""An answer that has made progress within this time is not ended for the bound,
unless the count would exceed the bound itself. A caller that reads slowly but steadily
moves some bytes in this time."""

DRAIN_STALLED_S = 2.0
"""A stopping host ends answers without progress for this long, in seconds. A host stops
within 7 s, and a caller may still read steadily."""

CALLER_DELAY_S = 1.0
"""After reading was paused for its caller for this long, a server that breaks off its
response may have given up on a peer that does not read."""


class Holding(typing.Protocol):
    """What is held for one request.

    Attributes:
        held_bytes: The bytes held.
        progressed_at: When the side that is waited for last took or sent bytes.
    """

    held_bytes: int
    progressed_at: float


HoldingType = typing.TypeVar("HoldingType", bound=Holding)


class MemoryLimits:
    """The limits on the bytes that an entry host holds for callers and servers.

    Args:
        bound_bytes: The limit over all connections.
        connection_bytes: The share of each connection.
    """

    def __init__(self, bound_bytes: int, connection_bytes: int) -> None:
        self.bound_bytes = bound_bytes
        self._connection_bytes = connection_bytes
        self._reached_bytes = int(REACHED_FRACTION * bound_bytes)

    def is_reached(self, held_bytes: int) -> bool:
        """Tells whether the bound counts as reached."""
        return held_bytes >= self._reached_bytes

    def get_share(self, held_bytes: int) -> int:
        """Returns the present share of a connection, in bytes."""
        free_bytes = self._reached_bytes - held_bytes
        share_bytes = max(REDUCED_SHARE_BYTES, int(FREE_FRACTION * free_bytes))
        return min(share_bytes, self._connection_bytes)

    def accepts_body(self, held_bytes: int, body_bytes: int, more_bytes: int) -> bool:
        """Tells whether a request body may be read.

        Args:
            held_bytes: What is held, with the part of the body that was read.
            body_bytes: The size of the body, as far as it is known.
            more_bytes: How much of it was not read yet.
        """
        if body_bytes <= SMALL_BODY_BYTES:
            return True
        return held_bytes + more_bytes < self._reached_bytes

    def accepts_connection(self, held_bytes: int) -> bool:
        """Tells whether a newly accepted connection may be read.

        They are read as long as one more share fits: sound requests often come on new
        connections, and waited for half a second with a limit of 0.95 of the bound.
        """
        return held_bytes + REDUCED_SHARE_BYTES <= self.bound_bytes

    def choose_ended(
        self,
        holdings: collections.abc.Iterable[HoldingType],
        held_bytes: int,
        now: float,
    ) -> HoldingType | None:
        """Chooses the answer that is ended next, if the bound requires it.

        Args:
            holdings: What is held for requests that wait for a caller or server to
                take or send bytes.
            held_bytes: What is held in total, or would be.
            now: The current time, in seconds.

        Returns:
            The one that has gone longest without progress; ``None`` if the bound is
            not reached, or if it is not exceeded and all make progress.
        """
        if not self.is_reached(held_bytes):
            return None
        holding = find_longest_still(holdings)
        if holding is None or held_bytes > self.bound_bytes:
            return holding
        return holding if now - holding.progressed_at >= STALLED_S else None


def find_longest_still(
    holdings: collections.abc.Iterable[HoldingType],
) -> HoldingType | None:
    """Returns the one that has gone longest without progress, of those with bytes."""
    return min(
        (holding for holding in holdings if holding.held_bytes),
        key=lambda holding: holding.progressed_at,
        default=None,
    )


def may_blame_server(delayed_s: float) -> bool:
    """Tells whether a response that broke off counts as a failure of its server.

    Args:
        delayed_s: The longest time for which reading from the server was paused for
            the caller.
    """
    return delayed_s < CALLER_DELAY_S
