import sys

import behave
import minicheck
from support import configurations_model as support

MAX_STATES = 400_000
MAX_STATES_TO_REFUTE = 20_000

CONFIRM_VARIANTS = {
    "without its base check": (
        support.ConfirmRules(checks_base=False),
        "each change was planned on the previous revision",
    ),
    "without its record of request ids": (
        support.ConfirmRules(remembers_requests=False),
        "equal requests get equal responses",
    ),
    "without comparing the content": (
        support.ConfirmRules(compares_content=False),
        "a change reported as accepted is in the history",
    ),
}
LEASE_VARIANTS = {
    "counted from receipt": (
        support.LeaseRules(from_receipt=True),
        "an entry host starts no stale work",
    ),
    "relayed without its age": (
        support.LeaseRules(relays_age=False),
        "an agent starts no stale work",
    ),
    "from a leader that does not wait for its quorum": (
        support.LeaseRules(waits_for_quorum=False),
        "an agent starts no stale work",
    ),
}


def print_figure(text):
    # behave captures the output of a passing scenario, so this bypasses the capture.
    print(f"figure: {text}", file=sys.__stdout__, flush=True)


def check_model(model, allowed=()):
    found = minicheck.check_safety(model, max_states=MAX_STATES)
    print_figure(f"states explored {found['reachable_states']} ({model.name})")
    assert found["exhaustive"], found.get("incomplete_reason")
    refuted = {name for name, it in found["properties"].items() if not it["holds"]}
    assert refuted == set(allowed), {
        name: found["properties"][name]["counterexample"] for name in refuted
    }


def check_refuted(model, property_name):
    found = minicheck.check_safety(model, max_states=MAX_STATES_TO_REFUTE)
    broken = found["properties"][property_name]
    assert broken["holds"] is False, found
    steps = [step["label"] for step in broken["counterexample"] if step["label"]]
    print_figure(f"{model.name} refuted in {len(steps)} steps: {'; '.join(steps)}")


@behave.then("every reachable state of plan and confirm keeps its invariants")
def check_confirm(context):
    check_model(support.make_confirm_model(support.ConfirmRules()))


@behave.then("with a record of one request id no plan is applied twice")
def check_eviction(context):
    # The cost of evicting a request id: a late resend gets a conflict instead of its
    # first outcome, and a reused request id may be accepted as a new one.
    cost = (
        "equal requests get equal responses",
        "a request changes the configuration at most once",
    )
    rules = support.ConfirmRules(memory_limit=1, max_sent=3)
    check_model(support.make_confirm_model(rules), cost)


@behave.then("plan and confirm {variant} is refuted")
def check_confirm_refuted(context, variant):
    rules, property_name = CONFIRM_VARIANTS[variant]
    check_refuted(support.make_confirm_model(rules), property_name)


@behave.then("every reachable state of the freshness lease keeps its invariants")
def check_lease(context):
    check_model(support.make_lease_model(support.LeaseRules()))


@behave.then("a lease {variant} is refuted")
def check_lease_refuted(context, variant):
    rules, property_name = LEASE_VARIANTS[variant]
    check_refuted(support.make_lease_model(rules), property_name)
