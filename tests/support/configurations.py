"""Builders and a reference model for scenarios on configurations and plans."""

from lycheegauge.internal.protocol import changes, intents
from lycheegauge.internal.state import configurations

ZONES = ("pl-central-a", "pl-central-b", "pl-central-c")


def make_intent(label: int = 0, zones_out: tuple[str, ...] = ()) -> intents.Intent:
    service = intents.Service("chat", intents.ServiceKind.MODEL, label)
    return intents.Intent((service,), availability_zones_out=zones_out)


def make_confirmation(
    request_id: str, base_revision: int, intent: intents.Intent
) -> changes.ConfirmPlan:
    plan_id = configurations.compute_plan_id(base_revision, intent)
    return changes.ConfirmPlan(request_id, plan_id, base_revision, intent)


def make_fleet(per_zone: int = 4, capacity: int = 8):
    return [
        intents.BackendServerCapacity(f"{zone}-{i}", zone, "chat", capacity)
        for zone in ZONES
        for i in range(per_zone)
    ]


class ReferenceConfigurations:
    """A reference model that keeps the full history and all request outcomes."""

    def __init__(self):
        self.history = [intents.Intent()]
        self.outcomes = {}

    def apply(self, change):
        content = (change.plan_id, change.base_revision, change.intent)
        if change.request_id not in self.outcomes:
            self.outcomes[change.request_id] = (content, self.decide(change))
        first_content, outcome = self.outcomes[change.request_id]
        if content == first_content:
            return outcome
        return changes.ChangeStatus.REQUEST_ID_REUSED, len(self.history) - 1

    def decide(self, change):
        revision = len(self.history) - 1
        if change.base_revision != revision:
            return changes.ChangeStatus.CONFLICT, revision
        if change.refusals:
            return changes.ChangeStatus.REFUSED, revision
        self.history.append(change.intent)
        return changes.ChangeStatus.ACCEPTED, revision + 1
