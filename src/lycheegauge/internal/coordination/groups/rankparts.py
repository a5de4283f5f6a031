"""Divides the ranks of a large group into parts, each called through one agent.

One of the part's own agents relays the calls to the others; the role rotates. With
about as many parts as ranks in a part, neither the coordinator nor a relay makes more
calls than about the square root of the number of ranks.
"""

import collections.abc
import dataclasses
import math

DIRECT_S = 1.0
"""Time for which a rank that did not answer through a relay is called directly, in
seconds. A lost packet delays a connection by some tenths of a second."""

FAILED_RELAY_S = 5.0
"""Time for which an agent that did not answer does not relay, in seconds."""

LATE_ROUNDS = 2.0
"""A call is late after this many usual rounds."""

RELAY_SHARE = 0.75
"""Fraction of the time limit of a call that its relay waits for the other agents."""

LIMIT_MIN_S = 0.06
"""Minimum time limit. A small host that does other work answers within it."""

LIMIT_MAX_S = 0.3

FIRST_ROUND_S = 0.06
"""Assumed duration of a round before the first one."""

FIRST_COUNTS_ROUND_S = 0.12
"""The same for a round that reads counts: those of eight ranks have 40 KB, and agents
have links of 4 Mbit/s."""

ROUND_WEIGHT = 0.2
"""Weight of the latest round in the usual one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Some ranks, and the one whose agent is called for all of them.

    Attributes:
        relay: The address of the relay's engine; empty for direct calls.
        members: The addresses of the engines, including the relay's.
    """

    relay: str
    members: tuple[str, ...]


class RankParts:
    """Chooses how the ranks of a group are called, and how long to wait for them."""

    def __init__(self) -> None:
        self._rotation = 0
        self._direct_until: dict[str, float] = {}
        self._failed_until: dict[str, float] = {}
        self._rounds_s = {False: FIRST_ROUND_S, True: FIRST_COUNTS_ROUND_S}

    @property
    def round_s(self) -> float:
        """The usual duration of a round of calls without counts, in seconds."""
        return self._rounds_s[False]

    def compute_limit_s(self, has_counts: bool = False) -> float:
        """Returns the time after which a call is late, in seconds."""
        limit_s = LATE_ROUNDS * self._rounds_s[has_counts]
        return min(LIMIT_MAX_S, max(LIMIT_MIN_S, limit_s))

    def compute_relay_wait_s(self, has_counts: bool = False) -> float:
        """Returns how long a relay waits for the other agents, in seconds."""
        return RELAY_SHARE * self.compute_limit_s(has_counts)

    def divide(
        self,
        engines: collections.abc.Sequence[str],
        wanted: collections.abc.Collection[str],
        now: float,
    ) -> list[Part]:
        """Divides the wanted ranks into parts.

        Args:
            engines: The addresses of all engines of the group, neighbours next to each
                other. As long as they stay the same, so do the parts.
            wanted: The addresses of those to call now.
            now: Seconds.
        """
        self._rotation += 1
        size = max(1, math.isqrt(len(engines)))
        parts = []
        for start in range(0, len(engines), size):
            members = engines[start : start + size]
            parts += self._divide_part(members, wanted, now)
        return parts

    def _divide_part(
        self,
        members: collections.abc.Sequence[str],
        wanted: collections.abc.Collection[str],
        now: float,
    ) -> list[Part]:
        relayed: list[str] = []
        direct: list[str] = []
        for engine in members:
            if engine in wanted:
                is_direct = self._direct_until.get(engine, -math.inf) > now
                (direct if is_direct else relayed).append(engine)
        relays = [
            engine
            for engine in relayed
            if self._failed_until.get(engine, -math.inf) <= now
        ]
        if len(relayed) < 2 or not relays:
            direct += relayed
            relayed = []
        parts = [Part("", (engine,)) for engine in direct]
        if relayed:
            relay = relays[self._rotation % len(relays)]
            parts.append(Part(relay, tuple(relayed)))
        return parts

    def record_round(self, duration_s: float, has_counts: bool = False) -> None:
        """Records the duration of a relayed call that all its ranks answered."""
        usual_s = self._rounds_s[has_counts]
        self._rounds_s[has_counts] = usual_s + ROUND_WEIGHT * (duration_s - usual_s)

    def choose_other_relay(self, part: Part, now: float) -> Part:
        """Chooses another relay for a part whose relay did not answer."""
        others = [
            engine
            for engine in part.members
            if engine != part.relay and self._failed_until.get(engine, -math.inf) <= now
        ]
        relay = others[self._rotation % len(others)] if others else ""
        return Part(relay, part.members)

    def record_silent(self, engine: str, now: float) -> None:
        """Records that a rank did not answer through its relay."""
        self._direct_until[engine] = now + DIRECT_S

    def record_failed_relay(self, engine: str, now: float) -> None:
        """Records that a relay did not answer."""
        self._failed_until[engine] = now + FAILED_RELAY_S
