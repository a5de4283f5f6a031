"""Stores the routing explanations of recent requests, for ``explain``."""

import collections

from lycheegauge.internal.protocol import operations

EXPLANATIONS_MAX = 1000


class ExplanationStore:
    """The explanations of the last ``EXPLANATIONS_MAX`` requests that ended."""

    def __init__(self) -> None:
        self._stored: collections.OrderedDict[str, operations.Explanation] = (
            collections.OrderedDict()
        )

    def store(self, explanation: operations.Explanation) -> None:
        """Stores an explanation and evicts the oldest one beyond the limit."""
        self._stored[explanation.request_id] = explanation
        while len(self._stored) > EXPLANATIONS_MAX:
            self._stored.popitem(last=False)

    def find(self, request_id: str) -> operations.Explanation | None:
        """Returns the explanation of a request, if it is still stored."""
        return self._stored.get(request_id)
