"""Counts how the requests of each route ended, for logs with a limited volume.

The lines of single requests are rate-limited, so they can't be added up. These counts
cover every request that an entry host accepted.
"""

import collections

from lycheegauge.internal.protocol import routetables

ON_TIME = "on_time"
FIRST_TOKEN_LATE = "first_token_late"
PAUSE_TOO_LONG = "pause_too_long"
CANCELLED_WAITING = "cancelled_waiting"
CANCELLED_STREAMING = "cancelled_streaming"


class RequestOutcomes:
    """Counts outcomes by route."""

    def __init__(self) -> None:
        self._counts: dict[str, collections.Counter[str]] = {}

    def count_answered(
        self, route: routetables.Route, first_s: float, longest_gap_s: float
    ) -> None:
        """Counts a complete answer by the target that it missed.

        Args:
            route: The request's route.
            first_s: Time from the request's arrival to the first part, in seconds.
            longest_gap_s: Longest pause between two parts, in seconds.
        """
        outcome = ON_TIME
        if first_s > route.target_first_s:
            outcome = FIRST_TOKEN_LATE
        elif route.repetition.is_stream and longest_gap_s > route.target_gap_s:
            outcome = PAUSE_TOO_LONG
        self.count(route.name, outcome)

    def count_cancelled(self, route: str, has_started: bool) -> None:
        """Counts a request whose caller left before the answer was complete."""
        self.count(route, CANCELLED_STREAMING if has_started else CANCELLED_WAITING)

    def count(self, route: str, outcome: str) -> None:
        """Counts one request; ``outcome`` is a constant above or a refusal reason."""
        self._counts.setdefault(route, collections.Counter())[outcome] += 1

    def pop_counts(self) -> dict[str, dict[str, int]]:
        """Returns and resets the counts by route and outcome."""
        counts, self._counts = self._counts, {}
        return {route: dict(outcomes) for route, outcomes in counts.items()}
