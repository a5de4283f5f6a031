"""Retry budget that limits repeated sends across all entry hosts.

The budget limits all sends beyond the first of each request within a sliding window
to a fraction of the requests plus a fixed slack. Each host enforces the fraction on
its own requests; the fixed slack is divided equally among the hosts.
"""

import collections

SLACK_FRACTION = 0.8
"""Fraction of the slack that is handed out, since hosts may briefly have a wrong
count of the other hosts."""


class RepeatBudget:
    """One host's part of one service's retry budget.

    Args:
        ratio: Repeats allowed per request in the window.
        slack: Additional repeats allowed, over all hosts.
        window_s: Length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a request, which raises the number of allowed repeats."""
        self._requests.append(now)
        self._discard_old(now)

    def has_left(self, hosts: int, now: float) -> bool:
        """Returns whether this host, one of ``hosts``, may send a repeat."""
        self._discard_old(now)
        slack = self._slack * SLACK_FRACTION / max(1, hosts)
        return len(self._repeats) + 1 <= self._ratio * len(self._requests) + slack

    def spend(self, hosts: int, now: float) -> bool:
        """Counts a repeat if the budget allows it; returns whether it does."""
        if not self.has_left(hosts, now):
            return False
        self._repeats.append(now)
        return True

    def _discard_old(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_s:
                times.popleft()
