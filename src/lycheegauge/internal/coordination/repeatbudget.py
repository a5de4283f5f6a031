"""Limits how often requests are sent again, over all entry hosts together.

The bound counts all sends beyond the first in a sliding window: a share of the
requests plus a fixed number. The share holds at each host by itself, since its
own requests earn it; of the fixed number each host takes an equal part.
"""

import collections

SPARE_SHARE = 0.8
"""Part of the fixed number that is given out; hosts may briefly count each other
wrongly."""


class RepeatBudget:
    """One host's part of one service's budget.

    Args:
        ratio: Repeats allowed for each request in the window.
        slack: Repeats allowed besides, over all hosts.
        window_s: The length of the window, in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a request, which earns a share of a repeat."""
        self._requests.append(now)
        self._forget(now)

    def has_left(self, hosts: int, now: float) -> bool:
        """Tells whether a repeat is left for this of ``hosts`` hosts."""
        self._forget(now)
        slack = self._slack * SPARE_SHARE / max(1, hosts)
        return len(self._repeats) + 1 <= self._ratio * len(self._requests) + slack

    def spend(self, hosts: int, now: float) -> bool:
        """Takes one repeat, if one is left."""
        if not self.has_left(hosts, now):
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_s:
                times.popleft()
