"""The part of the replicated state that holds epochs and expert maps of groups.

An epoch is a fencing token: each ``TakeEpoch`` returns a strictly higher one, and a
map is stored only under the newest epoch. Each stored map names the first step
that runs with it. The log therefore determines which step uses which version,
independently of the step permits of the ranks.
"""

import dataclasses

from lycheegauge.internal.protocol import changes, codec, groups
from lycheegauge.internal.state import machine

MAX_GROUPS = 1024
MAX_ANSWERED_REQUESTS = (
    16  # request ids kept per group; a resend arrives within seconds
)
MAX_STORED_MAPS = 2  # an interrupted switch may still run the map before the newest


@machine.register_part("epochs", changes.TakeEpoch, changes.CommitMap)
class Epochs:
    """Holds one record per group, for at most ``MAX_GROUPS`` groups."""

    def __init__(self) -> None:
        self._records: dict[str, groups.GroupRecord] = {}

    def find_record(self, group: str) -> groups.GroupRecord:
        """Returns the record of a group, or an empty one if there is none."""
        return self._records.get(group, groups.GroupRecord(group))

    def apply(self, change: changes.Change) -> changes.Outcome:
        """Applies one committed change and returns its outcome."""
        if isinstance(change, changes.TakeEpoch):
            return self._take_epoch(change)
        if isinstance(change, changes.CommitMap):
            return self._commit_map(change)
        raise TypeError(f"{type(change).__name__} is not an epoch or map change")

    def dump(self) -> bytes:
        """Returns all records, serialized."""
        records = tuple(record for _, record in sorted(self._records.items()))
        return codec.pack(groups.EpochsSnapshot(records))

    def load(self, body: bytes) -> None:
        """Replaces all records with those that ``dump`` returned."""
        records = codec.unpack(body).records
        self._records = {record.group: record for record in records}

    def _take_epoch(self, change: changes.TakeEpoch) -> changes.EpochOutcome:
        record = self.find_record(change.group)
        for answered in record.answered:
            if answered.request_id == change.request_id:
                return _repeat_outcome(answered.outcome, change)
        if change.group not in self._records and len(self._records) >= MAX_GROUPS:
            return _build_outcome(changes.ChangeStatus.REFUSED, record)
        taken = dataclasses.replace(
            record, epoch=record.epoch + 1, holder=change.holder
        )
        outcome = _build_outcome(changes.ChangeStatus.ACCEPTED, taken)
        answer = groups.AnsweredRequest(change.request_id, outcome)
        answers = (*record.answered, answer)[-MAX_ANSWERED_REQUESTS:]
        self._records[change.group] = dataclasses.replace(taken, answered=answers)
        return outcome

    def _commit_map(self, change: changes.CommitMap) -> changes.MapOutcome:
        record = self.find_record(change.group)
        stored = groups.StoredMap(
            change.version, change.first_step, change.epoch, change.expert_map
        )
        newest = record.maps[-1] if record.maps else groups.StoredMap(0, -1, 0, b"")
        if change.epoch != record.epoch or change.epoch == 0:
            return changes.MapOutcome(changes.ChangeStatus.REFUSED, newest.version)
        if stored == newest:
            return changes.MapOutcome(changes.ChangeStatus.ACCEPTED, newest.version)
        follows = (
            change.version == newest.version + 1
            and change.first_step > newest.first_step
        )
        if not follows:
            return changes.MapOutcome(changes.ChangeStatus.CONFLICT, newest.version)
        maps = (*record.maps, stored)[-MAX_STORED_MAPS:]
        self._records[change.group] = dataclasses.replace(record, maps=maps)
        return changes.MapOutcome(changes.ChangeStatus.ACCEPTED, change.version)


def _build_outcome(
    status: changes.ChangeStatus, record: groups.GroupRecord
) -> changes.EpochOutcome:
    return changes.EpochOutcome(status, record.group, record.holder, record.epoch)


def _repeat_outcome(
    outcome: changes.EpochOutcome, change: changes.TakeEpoch
) -> changes.EpochOutcome:
    if outcome.holder == change.holder:
        return outcome
    return dataclasses.replace(outcome, status=changes.ChangeStatus.REQUEST_ID_REUSED)
