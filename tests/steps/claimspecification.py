import behave
import minicheck
from support import claimspecification

FAULTY_VARIANTS = {
    "an order is sent before its claim": {"claim_first": False},
    "an agent forgets what will never start": {"agent_marks_never": False},
    "nobody closes a key of which not run was said": {"closes": False},
}


@behave.when("the unmodified specification of claims is checked")
def check(context):
    context.checked = minicheck.check_safety(claimspecification.build())


@behave.when("the specification of claims is checked although {broken}")
def check_broken(context, broken):
    protocol = claimspecification.build(**FAULTY_VARIANTS[broken])
    context.checked = minicheck.check_safety(protocol)


@behave.then("every invariant of the specification of claims holds")
def check_holds(context):
    assert context.checked["exhaustive"], context.checked
    for name in claimspecification.INVARIANTS:
        assert context.checked["properties"][name]["holds"], name


@behave.then("the specification of claims reaches an answer and a true refusal")
def check_reached(context):
    for phase in (claimspecification.TOLD_ANSWER, claimspecification.TOLD_NOT_RUN):
        never = {"never": lambda fields, phase=phase: fields["phase_1"] != phase}
        checked = minicheck.check_safety(claimspecification.build(invariants=never))
        assert not checked["properties"]["never"]["holds"]


@behave.then("the checker refutes that {invariant}")
def check_refuted(context, invariant):
    found = context.checked["properties"][invariant]
    assert not found["holds"] and found["counterexample"]
