"""Stores the routing explanations of recent requests, for ``explain``."""

import collections

from lycheegauge.internal.protocol import operations

KEPT = 1000


class Explanations:
    """The explanations of the last ``KEPT`` requests that ended."""

    def __init__(self) -> None:
        self._kept: collections.OrderedDict[str, operations.Explanation] = (
            collections.OrderedDict()
        )

    def keep(self, explanation: operations.Explanation) -> None:
        """Stores an explanation and evicts the oldest one beyond the limit."""
        self._kept[explanation.request_id] = explanation
        while len(self._kept) > KEPT:
            self._kept.popitem(last=False)

    def find(self, request_id: str) -> operations.Explanation | None:
        """Returns the explanation of a request, if it is still stored."""
        return self._kept.get(request_id)
