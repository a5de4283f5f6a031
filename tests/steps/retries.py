import random

import behave
import hypothesis
from hypothesis import strategies
from returns import pipeline

from lycheegauge.internal.coordination import retries
from lycheegauge.internal.protocol import work

REASONS = strategies.sampled_from(list(work.RetryReason))


@behave.then("all attempts stay within requests, the retry fraction and the burst")
def check_budget(context):
    @hypothesis.given(
        strategies.lists(strategies.tuples(strategies.booleans(), REASONS)),
        strategies.floats(0, 1),
        strategies.floats(0, 20),
        strategies.integers(0, 99),
    )
    @hypothesis.example([(True, work.RetryReason.COLD_LIMIT)] * 50, 0.1, 10.0, 0)
    def check(outcomes, fraction, burst, seed):
        budget = retries.RetryBudget(fraction, burst)
        backoff = retries.Backoff(random.Random(seed))
        requests = attempts = 0
        for fails, reason in outcomes:
            requests += 1
            attempts += 1
            for attempt in range(20):
                if not fails:
                    budget.record_success()
                    break
                planned = plan(budget, backoff, attempt, reason, 1e6)
                if not pipeline.is_successful(planned):
                    refused = planned.failure().reason
                    assert refused == work.RefusalReason.RETRY_BUDGET_SPENT
                    break
                attempts += 1
            assert attempts <= requests * (1 + fraction) + burst + 1e-6
        assert sum(budget.spent.values()) == attempts - requests

    check()


@behave.then("each planned retry fits into the remaining time")
def check_deadline(context):
    @hypothesis.given(
        strategies.integers(0, 60), strategies.floats(0, 5), strategies.floats(0, 5)
    )
    def check(attempt, remaining_s, needed_s):
        budget = retries.RetryBudget()
        backoff = retries.Backoff(random.Random(attempt))
        reason = work.RetryReason.STREAM_BROKEN
        planned = plan(budget, backoff, attempt, reason, remaining_s, needed_s)
        if pipeline.is_successful(planned):
            assert planned.unwrap().delay_s + needed_s <= remaining_s
            assert planned.unwrap().delay_s <= retries.MAX_DELAY_S
        else:
            assert planned.failure().reason == work.RefusalReason.DEADLINE_EXCEEDED
            assert not budget.spent

    check()


@behave.then("a refused retry never turns an unknown outcome into not run")
def check_run_state(context):
    budget = retries.RetryBudget(burst=0.0)
    backoff = retries.Backoff(random.Random(1))
    for run_state in work.RunState:
        for remaining_s in (0.0, 100.0):
            planned = retries.plan_retry(
                budget,
                backoff,
                0,
                work.RetryReason.STREAM_BROKEN,
                remaining_s,
                1.0,
                run_state,
            )
            assert planned.failure().run_state == run_state


def plan(budget, backoff, attempt, reason, remaining_s, needed_s=0.0):
    state = work.RunState.NOT_RUN
    return retries.plan_retry(
        budget, backoff, attempt, reason, remaining_s, needed_s, state
    )
