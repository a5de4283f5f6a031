"""Decides when something that is refused may run once more.

A refusal that rests on a coincidence would otherwise last for hours, as no request that
could disprove it runs.
"""

import dataclasses

INTERVAL_S = 30.0
"""Time until a refused request may run alone once more, in seconds. It grows by
``INTERVAL_GROWTH`` with each crash at which the request was the only suspect."""

INTERVAL_GROWTH = 10.0
MAX_REFUSED = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class _Retrial:
    crashes_alone: int
    due_at: float


class Retrials:
    """The refused requests and parts of prompts, and when they may run once more."""

    def __init__(self) -> None:
        self._retrials: dict[str, _Retrial] = {}

    def take(self, name: str, crashes_alone: int, now: float) -> bool:
        """Tells whether a request may run alone once more, and counts it.

        Args:
            name: What is refused: a fingerprint or a part.
            crashes_alone: Number of crashes at which it was the only suspect.
            now: Current time in seconds.
        """
        known = self._retrials.pop(name, None)
        is_known = known is not None and known.crashes_alone == crashes_alone
        is_due = known is not None and is_known and now >= known.due_at
        if known is None or not is_known or is_due:
            interval_s = INTERVAL_S * INTERVAL_GROWTH ** max(0, crashes_alone - 1)
            known = _Retrial(crashes_alone, now + interval_s)
        self._retrials[name] = known
        while len(self._retrials) > MAX_REFUSED:
            del self._retrials[next(iter(self._retrials))]
        return is_due
