import sys

import behave
import minicheck
from support import permitmodel

MAX_STATES = 200_000
REFUTED_WITHIN = {0: 20_000, 1: 60_000}  # states, by restarts
BROKEN = {
    "ranks refusing older epochs": permitmodel.Rules(0, ranks_fence=False),
    "the log refusing older epochs": permitmodel.Rules(0, log_fences=False),
    "asking all ranks": permitmodel.Rules(0, asks_all=False),
    "waiting for the cut": permitmodel.Rules(0, waits_for_cut=False),
    "the step that a lost rank may be ahead": permitmodel.Rules(lost_rank_steps=0),
    "offers addressed to one incarnation": permitmodel.Rules(
        addresses_incarnation=False
    ),
}


def explore(rules, max_states):
    checked = minicheck.check_safety(
        permitmodel.make_protocol(rules), max_states=max_states
    )
    return checked, checked["properties"]["one map a step"]


@behave.then("the step permit model has one map per step in all reachable states")
def check_model(context):
    checked, verdict = explore(permitmodel.Rules(), MAX_STATES)
    print(
        f"figure: states explored {checked['reachable_states']} (step permits)",
        file=sys.__stdout__,
    )
    assert checked["exhaustive"]
    assert verdict["holds"] is True


@behave.then("the step permit model without {safeguard} runs one step with two maps")
def check_broken_model(context, safeguard):
    rules = BROKEN[safeguard]
    _, verdict = explore(rules, REFUTED_WITHIN[rules.restarts])
    moves = len(verdict.get("counterexample") or [])
    print(
        f"figure: refuted after {moves} moves without {safeguard}", file=sys.__stdout__
    )
    assert verdict["holds"] is False
