"""The replicated configuration: a sequence of accepted intents.

Confirmations are ordered only by the log: a plan is accepted if its base revision
is still current, whatever numbers its operator gave it. A request id has exactly
one outcome, however often and through whichever entry host it is sent.

The number of remembered request ids is bounded, which has these consequences. An
accepted plan cannot be applied twice, even after its outcome was evicted, because
its base revision stays below the current one; a resend then gets a conflict.
Declined outcomes are stored separately, so that many conflicts cannot evict
accepted outcomes. A resend of an evicted conflict gets a conflict again.
"""

import collections
import collections.abc
import dataclasses
import functools
import hashlib
import json
import operator
import typing

from lycheegauge import errors
from lycheegauge.internal.protocol import changes, codec, configurations, intents
from lycheegauge.internal.state import machine

MAX_ACCEPTED_OUTCOMES = 8192
MAX_DECLINED_OUTCOMES = 1024
MAX_REQUEST_ID_CHARACTERS = 128
DIGEST_BYTES = 16

_Outcomes = collections.OrderedDict[str, configurations.RememberedOutcome]


def compute_plan_id(base_revision: int, intent: intents.Intent) -> str:
    """Returns the digest of a plan's base revision and content, in hexadecimal.

    The digest is computed over canonical JSON, because protobuf does not guarantee
    the same bytes across versions, and replicas of two versions must agree.
    """
    parts = _make_values_getter(intents.Intent)(intent)
    content = [
        base_revision,
        *([list_values(item) for item in part] for part in parts),
    ]
    canonical = json.dumps(content, separators=(",", ":"))
    return hashlib.blake2b(canonical.encode(), digest_size=DIGEST_BYTES).hexdigest()


@machine.register_part("configurations", changes.ConfirmPlan)
class Configurations:
    """The part of the replicated state that holds the configuration."""

    def __init__(self) -> None:
        self._current = intents.Configuration()
        self._accepted: _Outcomes = collections.OrderedDict()
        self._declined: _Outcomes = collections.OrderedDict()

    @property
    def current(self) -> intents.Configuration:
        """The configuration accepted last."""
        return self._current

    def apply(self, change: changes.ConfirmPlan) -> changes.ConfirmOutcome:
        """Accepts the plan if its base is current, otherwise returns the reason."""
        if not 0 < len(change.request_id) <= MAX_REQUEST_ID_CHARACTERS:
            return self._decline(
                changes.ChangeStatus.REFUSED,
                f"the request id must have 1 to {MAX_REQUEST_ID_CHARACTERS} characters",
            )
        digest = _digest_content(change)
        first = self._find_outcome(change.request_id)
        if first is None:
            outcome = self._decide(change)
            self._remember(change.request_id, digest, outcome)
            return outcome
        if first.digest == digest:
            return first.outcome
        return self._decline(
            changes.ChangeStatus.REQUEST_ID_REUSED,
            f"request id {change.request_id!r} was used for another plan; "
            "choose a new one",
        )

    def dump(self) -> bytes:
        """Returns the serialized configuration and remembered outcomes."""
        snapshot = configurations.ConfigurationsSnapshot(
            self._current,
            tuple(self._accepted.values()),
            tuple(self._declined.values()),
        )
        return codec.pack(snapshot)

    def load(self, body: bytes) -> None:
        """Replaces the state with one that ``dump`` returned.

        Raises:
            errors.BorderError: The bytes are not a configurations snapshot.
        """
        snapshot = codec.unpack(body)
        if not isinstance(snapshot, configurations.ConfigurationsSnapshot):
            raise errors.BorderError(
                "the bytes are not a configurations snapshot", "restore"
            )
        self._current = snapshot.current
        self._accepted = _index_outcomes(snapshot.accepted)
        self._declined = _index_outcomes(snapshot.declined)

    def _find_outcome(self, request_id: str) -> configurations.RememberedOutcome | None:
        return self._accepted.get(request_id) or self._declined.get(request_id)

    def _decide(self, change: changes.ConfirmPlan) -> changes.ConfirmOutcome:
        current = self._current.revision
        if change.base_revision != current:
            return self._decline(
                changes.ChangeStatus.CONFLICT,
                f"the plan was made for revision {change.base_revision}, "
                f"but {current} is current; review a fresh plan",
            )
        if change.refusals:
            return self._decline(
                changes.ChangeStatus.REFUSED, "; ".join(change.refusals)
            )
        self._current = intents.Configuration(current + 1, change.intent)
        return changes.ConfirmOutcome(changes.ChangeStatus.ACCEPTED, current + 1)

    def _decline(
        self, status: changes.ChangeStatus, reason: str
    ) -> changes.ConfirmOutcome:
        return changes.ConfirmOutcome(status, self._current.revision, reason)

    def _remember(
        self, request_id: str, digest: str, outcome: changes.ConfirmOutcome
    ) -> None:
        accepted = outcome.status is changes.ChangeStatus.ACCEPTED
        outcomes = self._accepted if accepted else self._declined
        limit = MAX_ACCEPTED_OUTCOMES if accepted else MAX_DECLINED_OUTCOMES
        outcomes[request_id] = configurations.RememberedOutcome(
            request_id, digest, outcome
        )
        while len(outcomes) > limit:
            outcomes.popitem(last=False)


def list_values(item: typing.Any) -> typing.Any:
    """Returns an item of an intent as values with one canonical JSON form."""
    if isinstance(item, str):
        return item
    values = _make_values_getter(item.__class__)(item)
    floats = _list_float_positions(item.__class__)
    if not floats:
        return values
    # An integer that was given for a float field is a float after a round trip
    # through the codec, and JSON writes the two differently.
    return [float(v) if i in floats else v for i, v in enumerate(values)]


@functools.cache
def _make_values_getter(
    kind: typing.Any,
) -> collections.abc.Callable[[typing.Any], tuple[typing.Any, ...]]:
    return operator.attrgetter(*(field.name for field in dataclasses.fields(kind)))


@functools.cache
def _list_float_positions(kind: typing.Any) -> tuple[int, ...]:
    kinds = [field.type for field in dataclasses.fields(kind)]
    return tuple(i for i, kind in enumerate(kinds) if kind is float)


def _digest_content(change: changes.ConfirmPlan) -> str:
    plan_id = compute_plan_id(change.base_revision, change.intent)
    content = f"{change.plan_id} {plan_id}".encode()
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def _index_outcomes(
    remembered: tuple[configurations.RememberedOutcome, ...],
) -> _Outcomes:
    return collections.OrderedDict((item.request_id, item) for item in remembered)
