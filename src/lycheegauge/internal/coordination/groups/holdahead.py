"""Chooses how far ahead of its arming a pass is held, from how long arming took.

If the held pass is due before all ranks are armed and the release has arrived, the
whole group stands still and every stream misses an event. A hold further ahead only
puts the new map into force a little later.
"""

import collections

ARMING_MEMORY_S = 10.0
"""How long the duration of an arming counts, in seconds; as long as an unanswered order
counts as recent."""

ARMING_MARGIN = 1.3
"""Factor for the variation between two armings."""

UNRELIABLE_ARMING_S = 0.4
"""Assumed duration of an arming while orders go unanswered, in seconds. With one order
in ten lost, 72 ranks need two or three rounds, each with the time-out of an order."""

RELEASE_RETRY_S = 0.15
"""Additional time while orders go unanswered, in seconds, in which a release that is
lost is sent again."""


class ArmingHistory:
    """Remembers how long the last armings of a group took."""

    def __init__(self) -> None:
        self._durations: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=16
        )

    def note_arming(self, duration_s: float, now: float) -> None:
        """Records how long it took until all ranks were armed."""
        self._durations.append((now, duration_s))

    def choose_hold_ahead(
        self, least_s: float, is_unreliable: bool, now: float
    ) -> float:
        """Chooses the time until a held pass is due, in seconds.

        Args:
            least_s: The time that undisturbed calls need, in seconds.
            is_unreliable: Whether orders went unanswered lately.
            now: Current time in seconds.
        """
        longest_s = max(
            (
                duration_s
                for at, duration_s in self._durations
                if now - at <= ARMING_MEMORY_S
            ),
            default=0.0,
        )
        if is_unreliable:
            longest_s = max(longest_s, UNRELIABLE_ARMING_S)
        ahead_s = ARMING_MARGIN * longest_s
        if is_unreliable:
            ahead_s += RELEASE_RETRY_S
        return max(least_s, ahead_s)
