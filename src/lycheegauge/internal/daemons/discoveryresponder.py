"""Answers discovery requests with the entry hosts that callers should use."""

import collections.abc
import random

from lycheegauge.internal.coordination import entryload
from lycheegauge.internal.protocol import controlcalls, roster
from lycheegauge.internal.transport import controlapi

ENTRIES_MAX = 64
"""Maximum number of addresses in one answer."""

OK = 200
UNAVAILABLE = 503


class DiscoveryResponder:
    """Lists the entry hosts that accept callers, in the external API's format.

    Args:
        dialect: The dialect of the external API.
        valid_s: How long callers may keep an answer, in seconds.
    """

    def __init__(self, dialect: controlcalls.Dialect, valid_s: float) -> None:
        self._dialect = dialect
        self._valid_s = valid_s
        self._random = random.Random()

    def answer(
        self,
        hosts: collections.abc.Iterable[roster.HostListing],
        open_requests: collections.abc.Mapping[str, int] | None = None,
    ) -> controlapi.Response:
        """Answers with those of ``hosts`` that accept callers.

        Args:
            hosts: The entry hosts.
            open_requests: Their open requests by name, to leave out overloaded hosts.
        """
        accepting = [host for host in hosts if host.ready and not host.leaving]
        if open_requests:
            accepting = entryload.list_preferred(accepting, open_requests, self._random)
        addresses = [host.caller_address for host in accepting]
        if not addresses:
            reason = b"no entry host is known to be ready"
            return controlapi.Response(UNAVAILABLE, reason)
        if len(addresses) > ENTRIES_MAX:
            addresses = self._random.sample(addresses, ENTRIES_MAX)
        body = self._dialect.encode_entry_addresses(tuple(addresses), self._valid_s)
        return controlapi.Response(OK, body)
