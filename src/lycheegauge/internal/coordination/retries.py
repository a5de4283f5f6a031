"""Retry budget and backoff of an entry host.

Retries spend a budget that successful requests refill, so that retries add only
a little load to a fleet that fails as a whole.
"""

import collections
import dataclasses
import random

from returns import result

from lycheegauge.internal.protocol import work

# Retries earned per successful request, and the maximum that can accumulate.
RETRY_FRACTION = 0.2
RETRY_BURST = 10.0
INITIAL_DELAY_S = 0.02
MAX_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry after ``delay_s`` seconds; ``reason`` is counted."""

    delay_s: float
    reason: work.RetryReason


class RetryBudget:
    """A token bucket of retries: starts full, refilled by successful requests.

    All attempts together are at most ``requests * (1 + fraction) + burst``.

    Args:
        fraction: Retries earned by one successful request.
        burst: The capacity of the bucket, which is also its initial level.
    """

    def __init__(
        self, fraction: float = RETRY_FRACTION, burst: float = RETRY_BURST
    ) -> None:
        self._fraction = fraction
        self._burst = burst
        self._tokens = burst
        self.spent: collections.Counter[work.RetryReason] = collections.Counter()
        self.denied: collections.Counter[work.RetryReason] = collections.Counter()

    def record_success(self) -> None:
        """Adds a fraction of a retry for a completely answered request."""
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def spend(self, reason: work.RetryReason) -> bool:
        """Spends one retry, if one is available.

        Returns:
            Whether a retry was available.
        """
        if self._tokens < 1.0:
            self.denied[reason] += 1
            return False
        self._tokens -= 1.0
        self.spent[reason] += 1
        return True


class Backoff:
    """Exponential backoff with full jitter.

    The bound doubles with each attempt, and each delay is drawn uniformly from
    0 to the bound ("full jitter", Brooker 2015), so that requests that failed
    at the same time are not retried at the same time.
    """

    def __init__(
        self,
        random_source: random.Random,
        initial_delay_s: float = INITIAL_DELAY_S,
        max_delay_s: float = MAX_DELAY_S,
    ) -> None:
        self._random = random_source
        self._initial_delay_s = initial_delay_s
        self._max_delay_s = max_delay_s

    def draw_delay(self, attempt: int) -> float:
        """Draws the delay after the failure of ``attempt``, counted from 0."""
        bound = self._initial_delay_s * 2 ** min(attempt, 32)
        return self._random.uniform(0.0, min(bound, self._max_delay_s))


def plan_retry(
    budget: RetryBudget,
    backoff: Backoff,
    attempt: int,
    reason: work.RetryReason,
    remaining_s: float,
    needed_s: float,
    run_state: work.RunState,
    request_id: str = "",
) -> result.Result[Retry, work.Refusal]:
    """Plans the next attempt, or refuses the request immediately.

    The caller of this function must ensure that the request may run again:
    either it is repeatable, or its claim was settled as not run.

    Args:
        budget: Charged only if the retry is planned.
        backoff: Draws the delay.
        attempt: The attempt that failed, from 0.
        reason: Why it failed.
        remaining_s: Time until the deadline, in seconds.
        needed_s: The time an attempt needs, in seconds.
        run_state: What is proven about the attempts so far; copied to a refusal.
        request_id: The request id to put into a refusal.
    """
    delay_s = backoff.draw_delay(attempt)
    if delay_s + needed_s > remaining_s:
        refused = work.RefusalReason.DEADLINE_EXCEEDED
    elif not budget.spend(reason):
        refused = work.RefusalReason.RETRY_BUDGET_SPENT
    else:
        return result.Success(Retry(delay_s, reason))
    return result.Failure(
        work.Refusal(
            request_id,
            attempt,
            refused,
            run_state,
            MAX_DELAY_S,
            step="retry",
            detail=f"after {reason}",
        )
    )
