"""Decides whether new work may start on a backend server at all."""

from lycheegauge.internal.coordination import crashes
from lycheegauge.internal.protocol import freshness, work


class StartGate:
    """Refuses new work that the configuration, lease or quarantine forbids.

    Args:
        backend_server: The name of the backend server.

    Attributes:
        crashes: The crashes of this backend server itself.
        quarantine: The latest quarantine received from the log.
    """

    def __init__(self, backend_server: str) -> None:
        self.crashes = crashes.CrashReporter(backend_server)
        self.quarantine = crashes.QuarantineView()
        self._zone_out = False
        self._leaving = False
        self._stopping = False

    def apply_pull_reply(self, reply: freshness.AgentPullReply) -> None:
        """Applies what the configuration says about this backend server."""
        self._zone_out = reply.availability_zone_out
        self._leaving = reply.backend_server_out

    def stop(self) -> None:
        """Refuses new orders from now on."""
        self._stopping = True

    def find_refusal(
        self,
        order: work.WorkOrder,
        allows_start: bool,
        running: int,
        reserved_for_suspect: bool,
    ) -> work.RefusalReason | None:
        """Returns the reason to refuse an order; ``None`` if it may start.

        Args:
            order: The order.
            allows_start: Whether the freshness lease allows new work.
            running: How many orders are running.
            reserved_for_suspect: Whether a suspect is running or waiting to run alone.
        """
        if self._stopping:
            return work.RefusalReason.STOPPING
        if self._leaving:
            return work.RefusalReason.BACKEND_SERVER_LEAVING
        if self._zone_out:
            return work.RefusalReason.AVAILABILITY_ZONE_OUT
        if not allows_start:
            return work.RefusalReason.LEASE_EXPIRED
        verdict = self.get_verdict(order)
        if verdict is crashes.Verdict.REFUSED:
            return work.RefusalReason.QUARANTINED
        if reserved_for_suspect or (verdict is crashes.Verdict.SUSPECT and running):
            return work.RefusalReason.SUSPECT_BUSY
        return None

    def list_crashes(self, fingerprint: str) -> frozenset[str]:
        """Lists the boots whose crashes count against a fingerprint, as known here."""
        return self.crashes.list_boots(fingerprint) | self.quarantine.list_boots(
            fingerprint
        )

    def clear(self, fingerprint: str, boots: frozenset[str]) -> None:
        """Clears a fingerprint of crashes after it ran alone to completion."""
        self.crashes.clear(fingerprint)
        self.quarantine.clear(fingerprint, boots)

    def get_verdict(self, order: work.WorkOrder) -> crashes.Verdict:
        """Returns how an order may run, from everything known at this agent."""
        fingerprint = order.request.fingerprint
        verdicts = {
            self.crashes.get_verdict(fingerprint),
            self.quarantine.get_verdict(fingerprint),
        }
        if crashes.Verdict.REFUSED in verdicts:
            return crashes.Verdict.REFUSED
        if order.suspect or crashes.Verdict.SUSPECT in verdicts:
            return crashes.Verdict.SUSPECT
        return crashes.Verdict.FREE
