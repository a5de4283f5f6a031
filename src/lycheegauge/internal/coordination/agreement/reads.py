"""Linearizable reads that wait until a quorum has confirmed the leader."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRead:
    """A pending read and the heartbeat round that must confirm it."""

    read_id: str
    round_id: int


class ReadQueue:
    """Pending reads, ordered by the heartbeat round that must confirm them.

    Only replies to a heartbeat that was sent after the read began confirm it (Ongaro
    2014, section 6.4). Reads that arrive in the meantime share the next round.
    """

    def __init__(self) -> None:
        self._pending: list[_PendingRead] = []

    def add(self, read_id: str, round_id: int) -> None:
        """Adds a read to be confirmed by the given round."""
        self._pending.append(_PendingRead(read_id, round_id))

    def needs_round(self, last_round: int) -> bool:
        """Tells whether a read needs a round that has not been sent yet."""
        return bool(self._pending) and self._pending[-1].round_id > last_round

    def pop_confirmed(self, round_id: int) -> tuple[str, ...]:
        """Removes and returns the reads whose round is confirmed."""
        done = tuple(
            item.read_id for item in self._pending if item.round_id <= round_id
        )
        self._pending = self._pending[len(done) :]
        return done

    def pop_all(self) -> tuple[str, ...]:
        """Removes and returns all reads."""
        done = tuple(item.read_id for item in self._pending)
        self._pending = []
        return done
