"""Looks up the route of a request and the organisation that holds an API key."""

import collections.abc
import random

from lycheegauge.internal.protocol import routetables


class RouteIndex:
    """A route table with indexes for look-up.

    Args:
        table: The route table.
    """

    def __init__(self, table: routetables.RouteTable) -> None:
        self.table = table
        self.services = {service.name: service for service in table.services}
        self._routes = {
            (route.host.lower(), route.path_prefix): route for route in table.routes
        }
        self._holders = {
            key: holder for holder in table.key_holders for key in holder.keys
        }

    def find_route(self, host: str, target: str) -> routetables.Route | None:
        """Finds the route with the longest matching path prefix.

        Args:
            host: The ``Host`` header; a port is ignored.
            target: The request target, with or without a query.
        """
        name = host.partition(":")[0].lower()
        for prefix in _list_prefixes(target.partition("?")[0]):
            route = self._routes.get((name, prefix))
            if route is not None:
                return route
        return None

    def find_holder(self, key: str) -> routetables.KeyHolder | None:
        """Returns the holder of an API key."""
        return self._holders.get(key)


def _list_prefixes(path: str) -> collections.abc.Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


def choose_service(route: routetables.Route, random_source: random.Random) -> str:
    """Chooses one of a route's services at random, by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [item.weight for item in route.services]
    return random_source.choices(route.services, weights)[0].service
