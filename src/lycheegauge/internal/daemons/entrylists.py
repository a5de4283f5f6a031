"""Answers callers who ask which entry hosts to use."""

import collections.abc
import random

from lycheegauge.internal.protocol import controlcalls, roster
from lycheegauge.internal.transport import controlapi

ENTRIES_MAX = 64
"""Most addresses of one answer."""

OK = 200
UNAVAILABLE = 503


class EntryLists:
    """Lists entry hosts that take callers, in the words of the border.

    Args:
        dialect: The words of the border.
        valid_s: How long callers may keep an answer, in seconds.
    """

    def __init__(self, dialect: controlcalls.Dialect, valid_s: float) -> None:
        self._dialect = dialect
        self._valid_s = valid_s
        self._chance = random.Random()

    def answer(
        self, hosts: collections.abc.Iterable[roster.HostListing]
    ) -> controlapi.Response:
        """Answers with those of ``hosts`` that take callers."""
        usable = [
            host.caller_address for host in hosts if host.ready and not host.leaving
        ]
        if not usable:
            reason = b"no entry host is known to be ready"
            return controlapi.Response(UNAVAILABLE, reason)
        if len(usable) > ENTRIES_MAX:
            usable = self._chance.sample(usable, ENTRIES_MAX)
        body = self._dialect.write_entries(tuple(usable), self._valid_s)
        return controlapi.Response(OK, body)
