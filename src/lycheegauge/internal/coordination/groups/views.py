"""A coordinator's view of its group's ranks in its epoch."""

import enum

from lycheegauge.internal.protocol import expertmaps

PREPARE_RESEND_S = 30.0  # maps are large and loading their weights takes long


class SenderStatus(enum.StrEnum):
    """How the sender of an answer relates to the rank's known incarnation."""

    KNOWN = "known"
    REPLACED = "replaced"
    STRANGER = "stranger"
    OUTDATED = "outdated"


class RankViews:
    """The newest answer of each rank and the maps that it has loaded."""

    def __init__(self, ranks: int) -> None:
        self.states: list[expertmaps.RankState | None] = [None] * ranks
        self._prepared: list[set[tuple[str, int]]] = [set() for _ in range(ranks)]
        self._prepare_sent_at: list[dict[int, float]] = [{} for _ in range(ranks)]

    def update(self, state: expertmaps.RankState) -> SenderStatus:
        """Stores an answer, unless a newer one is known.

        A restarted agent may report before it has received a sequence number. Such a
        ``STRANGER`` is queried, and its answer distinguishes it from a delayed message.
        """
        known = self.states[state.rank]
        if known is None:
            self.states[state.rank] = state
            return SenderStatus.KNOWN
        replaced = known.incarnation != state.incarnation
        if state.sequence < known.sequence:
            return SenderStatus.STRANGER if replaced else SenderStatus.OUTDATED
        self.states[state.rank] = state
        if not replaced:
            return SenderStatus.KNOWN
        self._prepare_sent_at[state.rank].clear()
        self._prepared[state.rank] = {
            pair for pair in self._prepared[state.rank] if pair[0] == state.incarnation
        }
        return SenderStatus.REPLACED

    def note_prepared(self, prepared: expertmaps.MapPrepared) -> None:
        """Records that an incarnation of a rank has loaded a map."""
        pair = (prepared.incarnation, prepared.version)
        self._prepared[prepared.rank].add(pair)

    def is_complete(self) -> bool:
        """Whether all ranks have answered."""
        return all(state is not None for state in self.states)

    def is_progress_lost(self) -> bool:
        """Whether all ranks have answered and none knows the group's progress."""
        return all(state is not None and not state.next_step for state in self.states)

    def has_prepared(self, rank: int, version: int) -> bool:
        """Whether the rank's current incarnation has loaded that version."""
        state = self.states[rank]
        incarnation = state.incarnation if state else ""
        return (incarnation, version) in self._prepared[rank]

    def have_prepared(self, version: int) -> bool:
        """Whether all ranks have loaded that version."""
        return all(self.has_prepared(rank, version) for rank in range(len(self.states)))

    def must_prepare(self, rank: int, version: int, now: float) -> bool:
        """Whether to send or resend the rank the request to load a version."""
        asked_at = self._prepare_sent_at[rank].get(version, float("-inf"))
        if self.has_prepared(rank, version) or now - asked_at < PREPARE_RESEND_S:
            return False
        self._prepare_sent_at[rank][version] = now
        return True

    def have_permits(self, last_step: int, versions: tuple[int, ...]) -> bool:
        """Whether all ranks have permits up to a step and have loaded the maps."""
        return all(
            state is not None and get_last_permitted_step(state) == last_step
            for state in self.states
        ) and all(self.have_prepared(version) for version in versions)

    def have_acknowledged(self, sequence: int, last_step: int) -> bool:
        """Whether all ranks have seen ``sequence`` and have no permit past a step."""
        return all(
            state is not None
            and state.sequence >= sequence
            and get_last_permitted_step(state) <= last_step
            for state in self.states
        )

    def find_next_step(self) -> int:
        """Finds the furthest next step that a rank has reported."""
        return max((state.next_step for state in self.states if state), default=0)

    def find_oldest_step(self) -> int:
        """Finds the oldest step that may be run again after an interruption."""
        told = [state.next_step for state in self.states if state and state.next_step]
        return min(told, default=1) - 1


def get_last_permitted_step(state: expertmaps.RankState) -> int:
    """Returns the last step that a rank may start."""
    return max((permit.last_step for permit in state.permits), default=0)
