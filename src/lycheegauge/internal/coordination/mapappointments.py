"""Decides which log host coordinates the expert maps.

Coordination calls every rank of a group several times a second, which takes most of
the processor time of a small host. The log's leader, which answers all entry hosts,
therefore appoints a follower. It coordinates the maps itself only if no follower is
known.

An appointment is a lease: the follower gives it up ``APPOINTMENT_S`` after its last
pull that renewed it, and the leader appoints another one only later. Each appointment
has a higher number than all before it, from which the fences of map orders are made. A
follower that restarts gets a new number, since it would begin again with fences that it
has used, and its earlier orders may still be carried out.
"""

import math

APPOINTMENT_S = 1.0
"""How long an appointment holds without a pull, in seconds."""

APPOINT_AFTER_S = 1.25
"""Time since a follower's last pull after which another one is appointed, in seconds.
Longer than the appointment, so that two hosts never coordinate at the same time."""

FIRST_PULLS_S = 1.0
"""How long a new leader waits for the first pulls of followers, in seconds."""

APPOINTMENTS_PER_TERM = 256
"""With more, nobody is appointed until the next term: numbers of the next term would be
used twice."""


class MapAppointments:
    """The appointments that a leader makes in one term.

    Args:
        term: The leader's term in the log.
        own_host: The leader's address.
        now: Seconds on a monotonic clock.
    """

    def __init__(self, term: int, own_host: str, now: float) -> None:
        self._first_number = term * APPOINTMENTS_PER_TERM
        self._own_host = own_host
        self._started_at = now
        self._pulled_at: dict[str, float] = {}
        self._incarnations: dict[str, str] = {}
        self._appointed = ""
        self._count = 0

    @property
    def number(self) -> int:
        """The number of the current appointment; there must be one."""
        assert 0 < self._count <= APPOINTMENTS_PER_TERM
        return self._first_number + self._count - 1

    def record_pull(self, host: str, incarnation: str, now: float) -> None:
        """Records that a follower pulled; ``incarnation`` names its process start."""
        self._pulled_at[host] = now
        former = self._incarnations.get(host, incarnation)
        self._incarnations[host] = incarnation
        if host == self._appointed and incarnation != former:
            self._count += 1

    def appoint(self, now: float) -> str:
        """Returns the host that coordinates the maps; empty if there is none yet."""
        last_pull = self._pulled_at.get(self._appointed, -math.inf)
        if now - last_pull < APPOINT_AFTER_S:
            return self._get_numbered()
        recent = [
            host for host, at in self._pulled_at.items() if now - at < APPOINTMENT_S
        ]
        if not recent and now - self._started_at < FIRST_PULLS_S:
            return ""
        chosen = min(recent, default=self._own_host)
        if chosen != self._appointed:
            self._appointed = chosen
            self._count += 1
        return self._get_numbered()

    def _get_numbered(self) -> str:
        return self._appointed if self._count <= APPOINTMENTS_PER_TERM else ""
