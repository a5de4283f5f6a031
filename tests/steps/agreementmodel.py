import dataclasses
import sys

import behave
from support import agreementmodel

LOG = agreementmodel.Bounds(members=0b111)
PAIR = agreementmodel.Bounds(
    members=0b011, terms=3, proposals=0, changes=2, length=3, is_elected=True
)
REPAIR = agreementmodel.Bounds(
    members=0b111, nodes=4, crashes=0, proposals=0, changes=2, length=3, is_elected=True
)
SMALL = dataclasses.replace(LOG, proposals=0)
FAULTS = {
    "votes are given twice a term": (SMALL, "checks_vote"),
    "votes are not synced": (SMALL, "keeps_vote"),
    "votes ignore the candidate's log": (SMALL, "compares_logs"),
    "entries are acknowledged before the sync": (SMALL, "syncs_before_ack"),
    "membership changes before an own-term commit": (PAIR, "needs_own_term"),
}


def check_holds(name, bounds):
    found = agreementmodel.Specification(bounds).check()
    print(
        f"figure: agreement {name}: states explored {found['reachable_states']}",
        file=sys.__stdout__,
    )
    assert found["exhaustive"], found["incomplete_reason"]
    for name, outcome in found["properties"].items():
        assert outcome["holds"], (name, outcome["counterexample"])


@behave.then(
    "the replicated log specification holds for 3 voters, 2 terms, 1 crash, 1 change"
)
def check_log(context):
    check_holds("log and elections", LOG)


@behave.then(
    "the replicated log specification holds for 2 voters and a learner, 3 terms, "
    "1 crash, 2 membership changes"
)
def check_pair(context):
    check_holds("two membership changes", PAIR)


@behave.then(
    "the replicated log specification holds for 3 voters and a learner, 2 terms, "
    "2 membership changes"
)
def check_repair(context):
    check_holds("remove then add", REPAIR)


@behave.then(
    'the replicated log specification with "{fault}" is refuted because "{name}" fails'
)
def check_refuted(context, fault, name):
    bounds, switch = FAULTS[fault]
    broken = dataclasses.replace(bounds, **{switch: False})
    found = agreementmodel.Specification(broken).check()
    outcome = found["properties"][name]
    assert outcome["holds"] is False, found
    print(
        f"figure: agreement refuted when {fault}: "
        f"{len(outcome['counterexample']) - 1} steps, "
        f"states explored {found['reachable_states']}",
        file=sys.__stdout__,
    )
