import dataclasses
import random

import behave
from support import explorer, requestmodel

from lycheegauge.internal.coordination import agentcore, startmarks
from lycheegauge.internal.protocol import changes, work
from lycheegauge.internal.state import claims

MAX_STATES = 20_000


class MarksWithoutNever(startmarks.StartMarks):
    def settle(self, request):
        mark = self.find(request.key, request.attempt, request.claim_sequence)
        if mark.state is not startmarks.MarkState.UNSEEN:
            return super().settle(request)
        never = work.SettlementStatus.WILL_NEVER_START
        return work.Settlement(request.key, request.attempt, never)


class AgentWithoutNeverMarks(agentcore.AgentCore):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._deduplicator._marks = MarksWithoutNever()


class AgentIgnoringIncarnation(agentcore.AgentCore):
    def settle(self, request):
        question = dataclasses.replace(request, incarnation=self.incarnation)
        return super().settle(question)


class AgentReportingNotRun(agentcore.AgentCore):
    def _fail(self, run, reached, reason):
        return super()._fail(run, False, reason)


class LedgerGrantingHeldKeys(claims.ClaimLedger):
    def _grant(self, change):
        claim = self._claims.get(change.key)
        if claim is not None and claim.status is changes.ClaimStatus.HELD:
            return self._grant_unless_closed(change, claim.attempt + 1)
        return super()._grant(change)


class LedgerWithoutClosedKeys(claims.ClaimLedger):
    def _is_closed(self, change):
        return False


FAULTY_VARIANTS = {
    "an agent forgets what it said will never start": {
        "agent_class": AgentWithoutNeverMarks
    },
    "an agent takes orders for its predecessor": {
        "agent_class": AgentIgnoringIncarnation
    },
    "an agent calls a failed run not run": {"agent_class": AgentReportingNotRun},
    "the ledger grants a held key again": {"ledger_class": LedgerGrantingHeldKeys},
    "the ledger forgets to whom it said not run": {
        "ledger_class": LedgerWithoutClosedKeys
    },
}


@behave.when(
    "every interleaving of a request is searched"
    " with {faults:d} faults and {resends:d} resend"
)
@behave.when(
    "every interleaving of a request is searched"
    " with {faults:d} faults and {resends:d} resends"
)
def search_all(context, faults, resends):
    world = requestmodel.RequestModel(faults=faults, resends=resends)
    context.search = explorer.search(world, MAX_STATES)
    assert context.search.problem or context.search.complete, context.search.states


@behave.when(
    "every interleaving of a request with a new key is searched with {faults:d} faults"
)
def search_fresh(context, faults):
    world = requestmodel.RequestModel(faults=faults, resends=0, is_new_key=True)
    context.search = explorer.search(world, MAX_STATES)
    assert context.search.problem or context.search.complete, context.search.states


@behave.when(
    "the first {states:d} interleavings of a request are searched"
    " with {faults:d} fault and {resends:d} resend"
)
def search_first(context, states, faults, resends):
    world = requestmodel.RequestModel(faults=faults, resends=resends)
    context.search = explorer.search(world, states)


@behave.when(
    "{walks:d} random interleavings of a request are run"
    " with {faults:d} faults and {resends:d} resends"
)
def walk_randomly(context, walks, faults, resends):
    def build():
        return requestmodel.RequestModel(faults=faults, resends=resends)

    context.search = explorer.walk(build, random.Random(7), walks)


@behave.when("interleavings of a request are searched although {broken}")
def search_broken(context, broken):
    def build():
        return requestmodel.RequestModel(faults=4, resends=2, **FAULTY_VARIANTS[broken])

    context.search = explorer.walk(build, random.Random(7), 3_000)


@behave.then("no interleaving violated a guarantee of the request")
def check_no_problem(context):
    search = context.search
    print(f"figure: {search.states} states or walks, {dict(search.endings)}")
    assert not search.problem, "\n".join((search.problem, *search.trace))


@behave.then("some interleavings answered both copies of the request")
def check_both_answered(context):
    assert context.search.endings["answered, answered"] > 0


@behave.then("the search reports that {problem}")
def check_problem(context, problem):
    assert problem in context.search.problem, context.search
