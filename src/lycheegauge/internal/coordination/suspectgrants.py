"""Grants suspect slots: in each service one host at a time runs a suspected request.

If two suspects ran at once and their servers crashed, it would not be known which of
them was the cause. The leader of the log grants the slot of a service to one host after
the other, in the order in which they asked.
"""

import dataclasses

from lycheegauge.internal.protocol import roster

EXPIRY_S = 3.0
"""Time without a pull after which a host's grant or wish ends, in seconds. Longer than
``SuspectSlots`` lets a host use a grant."""

TURN_S = 2.0
"""How long a host keeps a slot that others wait for, in seconds; a request that runs in
it may finish."""


@dataclasses.dataclass(slots=True)
class _Holder:
    host: str
    granted_at: float
    heard_at: float


class SuspectGranter:
    """Decides which host holds the suspect slot of each service."""

    def __init__(self) -> None:
        self._holders: dict[str, _Holder] = {}
        self._waiting: dict[str, dict[str, float]] = {}

    def grant(
        self, host: str, requests: tuple[roster.SuspectSlotRequest, ...], now: float
    ) -> tuple[str, ...]:
        """Handles the wishes of one host.

        Args:
            host: The incarnation of the host.
            requests: The slots that it wants or holds; others that it held are free.
            now: Current time in seconds.

        Returns:
            The services whose slot the host holds now.
        """
        wanted = {item.service: item.is_used for item in requests}
        self._drop_ended(host, wanted, now)
        return tuple(
            service
            for service, is_used in wanted.items()
            if self._grant_slot(service, host, is_used, now)
        )

    def _drop_ended(self, host: str, wanted: dict[str, bool], now: float) -> None:
        oldest_heard_at = now - EXPIRY_S
        for service, holder in list(self._holders.items()):
            has_returned_it = holder.host == host and service not in wanted
            if has_returned_it or holder.heard_at < oldest_heard_at:
                del self._holders[service]
        for service, waiting in list(self._waiting.items()):
            if service not in wanted:
                waiting.pop(host, None)
            for other, heard_at in list(waiting.items()):
                if heard_at < oldest_heard_at:
                    del waiting[other]
            if not waiting:
                del self._waiting[service]

    def _grant_slot(self, service: str, host: str, is_used: bool, now: float) -> bool:
        holder = self._holders.get(service)
        waiting = self._waiting.setdefault(service, {})
        if holder is not None and holder.host == host:
            holder.heard_at = now
            is_turn_over = now - holder.granted_at > TURN_S
            if is_used or not (waiting and is_turn_over):
                return True
            del self._holders[service]
            waiting[host] = now
            return False
        waiting[host] = now
        # A host that already uses the slot had it from the previous leader.
        is_next = is_used or next(iter(waiting)) == host
        if holder is not None or not is_next:
            return False
        del waiting[host]
        self._holders[service] = _Holder(host, now, now)
        return True
