"""Tells other hosts and operators how loaded this host sees the servers."""

import collections

from lycheegauge.internal.coordination import (
    declaredservices,
    rosterview,
    serverchoice,
)
from lycheegauge.internal.daemons import loadsharing, streamadmissions


class HostLoad:
    """The load of the servers and hosts as this host knows it.

    Args:
        name: This host's name.
        view: The roster.
        services: The declared services.
        choice: The open requests and the memory of the servers.
        admission: The admission of streams.
        is_used_by_directory: Whether discovery leaves out hosts by their load.
        from_servers: The number of servers from which it does.
    """

    def __init__(
        self,
        name: str,
        view: rosterview.RosterView,
        services: declaredservices.DeclaredServices,
        choice: serverchoice.ServerChoice,
        admission: streamadmissions.StreamAdmissions,
        is_used_by_directory: bool,
        from_servers: int,
    ) -> None:
        self._name = name
        self._view = view
        self._services = services
        self._choice = choice
        self._admission = admission
        self._is_used_by_directory = is_used_by_directory
        self._from_servers = from_servers

    def get_most_filled(self, now: float) -> float:
        """Returns the filled fraction of the fullest server's memory; 0 if unknown."""
        filled = [0.0]
        for server in self._view.list_usable(now):
            model = self._services.make_work_model(server.service)
            if model is not None and model.profile.memory_tokens:
                held = self._choice.estimate_tokens(server, now)
                filled.append(held / model.profile.memory_tokens)
        return max(filled)

    def count_open_by_host(self) -> dict[str, int]:
        """Counts the open requests of the entry hosts; empty if they don't count."""
        if not self._is_used_by_directory:
            return {}
        if len(self._view.servers) < self._from_servers:
            return {}
        counts = self._choice.news.count_by_host()
        return {**counts, self._name: self._choice.count_own_requests()}

    def is_high(self, now: float) -> bool:
        """Tells whether most slots of some service are busy."""
        if self._services.index is None:
            return False
        if self._admission.is_crowded(now):
            return True
        busy: dict[str, float] = collections.defaultdict(float)
        slots: dict[str, int] = collections.defaultdict(int)
        for server in self._view.list_usable(now):
            count = self._services.count_slots(server)
            busy[server.service] += count * self._choice.estimate(server, count, now)
            slots[server.service] += count
        return any(
            busy[service] > loadsharing.HIGH_LOAD_FRACTION * slots[service]
            for service in slots
        )
