"""Retry budget that limits repeated sends across all entry hosts.

In any window, all hosts together repeat at most a fraction of the requests plus a
fixed slack. A host earns the fraction with its own requests, and may carry over some
of it. Of the slack it uses the smallest share that it held in the whole window: what
others may use was never part of that, even if hosts restart, join or leave meanwhile.
"""

import collections

from lycheegauge.internal.coordination import hostshares

SLACK_FRACTION = 0.65
"""Fraction of the slack that the hosts may use in each window."""

CARRIED_FRACTION = 0.3
"""Fraction of the slack that bounds the earned retries that are carried over. The rest
of the slack is a reserve for retries that reach their server late."""

TRANSIT_S = 1.0
"""Time that a retry may take to its server, in seconds; added to the window."""


class RepeatBudget:
    """One host's part of one service's retry budget.

    Args:
        ratio: Repeats allowed per request in the window.
        slack: Additional repeats allowed, over all hosts.
        window_s: Length of the window in seconds.
        share: This host's fraction of the slack.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        share: hostshares.HostShareHolder,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s + TRANSIT_S
        self._share = share
        self._earned = 0.0
        self._earned_at = 0.0
        self._slack_uses: collections.deque[tuple[float, float]] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a request, which earns a fraction of a repeat."""
        self._earned += self._ratio
        self._limit_earned(now)

    def has_left(self, now: float) -> bool:
        """Returns whether this host may send a repeat."""
        self._limit_earned(now)
        return self._earned + self._count_slack_left(now) >= 1.0

    def spend(self, now: float) -> bool:
        """Counts a repeat if the budget allows it; returns whether it does."""
        if not self.has_left(now):
            return False
        from_earned = min(1.0, self._earned)
        self._earned -= from_earned
        if from_earned < 1.0:
            self._slack_uses.append((now, 1.0 - from_earned))
        return True

    def describe(self, now: float) -> str:
        """Describes what is left, for the log."""
        slack_left = self._count_slack_left(now)
        fraction = self._share.get_fraction(now)
        return (
            f"earned retries {self._earned:.2f}, slack left {slack_left:.2f}, "
            f"fraction of the slack {fraction:.3f}"
        )

    def _limit_earned(self, now: float) -> None:
        fraction = self._share.get_lowest_fraction(self._earned_at, now)
        self._earned_at = now
        carried_max = self._slack * CARRIED_FRACTION * fraction
        self._earned = min(self._earned, carried_max)

    def _count_slack_left(self, now: float) -> float:
        since = now - self._window_s
        while self._slack_uses and self._slack_uses[0][0] <= since:
            self._slack_uses.popleft()
        fraction = self._share.get_lowest_fraction(since, now)
        used = sum(amount for _, amount in self._slack_uses)
        return self._slack * SLACK_FRACTION * fraction - used
