"""What the route table in force declares of the services."""

import collections
import collections.abc

from lycheegauge.internal.coordination import requestwork, routeindex, servercandidates
from lycheegauge.internal.protocol import controlcalls, roster, routetables


class DeclaredServices:
    """The declared services of the route table in force, and how they are used.

    Attributes:
        index: The route table; ``None`` until the first one arrives.

    Args:
        preferences: How the servers of a service are compared.
    """

    def __init__(self, preferences: servercandidates.Preferences) -> None:
        self.index: routeindex.RouteIndex | None = None
        self._preferences = preferences
        self._sizes: collections.Counter[str] = collections.Counter()

    @property
    def table_version(self) -> int:
        """The version of the route table in force; 0 for none."""
        return self.index.table.version if self.index else 0

    def update_servers(
        self, listed: collections.abc.Iterable[roster.ServerListing]
    ) -> None:
        """Counts the listed servers of each service."""
        self._sizes = collections.Counter(server.service for server in listed)

    def get(self, service: str) -> routetables.ServiceDeclaration | None:
        """Returns a service's declaration; ``None`` if there is none."""
        return self.index.services.get(service) if self.index else None

    def get_slots(self, service: str) -> int:
        """Returns the slots that a service declares for each of its servers."""
        declared = self.get(service)
        return declared.slots if declared else 0

    def count_slots(self, server: roster.ServerListing) -> int:
        """Returns the slots that a server announced, or that its service declares."""
        return server.slots or self.get_slots(server.service)

    def is_lock_step(self, service: str) -> bool:
        """Tells whether the servers of a service run each pass together."""
        declared = self.get(service)
        return declared is not None and declared.experts is not None

    def weighs_work(self, service: str) -> bool:
        """Tells whether the servers of a service are compared by their work."""
        preferences = self._preferences
        if not preferences.weighs_work:
            return False
        return self._sizes[service] >= preferences.from_servers

    def make_work_model(self, service: str) -> requestwork.WorkModel | None:
        """Makes the model of a service's engines; ``None`` if it is not used."""
        declared = self.get(service)
        if declared is None or not self.weighs_work(service):
            return None
        return requestwork.make_model(declared)

    def expect_size(
        self, service: str, stated: controlcalls.RequestSize | None
    ) -> requestwork.ExpectedSize | None:
        """Estimates the size of a request from the one that its caller states.

        Returns:
            ``None`` if the servers are not compared by their work.
        """
        model = self.make_work_model(service)
        return model.expect_size(stated) if model is not None else None
