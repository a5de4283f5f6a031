"""State machine of one request at an entry host, without I/O.

When an attempt ends in a crash, the other entry hosts are notified before the
request is refused. Callers resend refused requests through any entry host, and
a host that does not know of the crash would start the request on the next
backend server.
"""

import typing

from lycheegauge.internal.coordination import (
    attemptmessages,
    claimedattempts,
    claimmessages,
    crashes,
    repeatableattempts,
)
from lycheegauge.internal.protocol import freshness, work


class _Attempts(typing.Protocol):
    def start(self, now: float) -> attemptmessages.Effects: ...

    def handle(
        self, event: attemptmessages.Event, now: float
    ) -> attemptmessages.Effects: ...


class RequestCore:
    """Decides the next actions for one request.

    A repeatable request is retried on other backend servers. A non-repeatable
    one is claimed in the log before it is sent.

    Args:
        request: The request; its idempotency key is scoped to the organisation.
        entry_host: The name of this entry host.
        key_issued_at_s: When the key was issued, or first seen, in log time
            (seconds).
        arrived_at_s: A log time that had already passed when the request
            arrived, such as that of the latest proof of freshness.
        is_new_key: Whether this entry host generated the key for this request
            and has not disclosed it, so that no other request can have used it.
    """

    def __init__(
        self,
        request: work.Request,
        entry_host: str,
        key_issued_at_s: float = 0.0,
        arrived_at_s: float = 0.0,
        is_new_key: bool = False,
    ) -> None:
        self.done = False
        self._server: freshness.BackendServer | None = None
        self._fingerprint = request.fingerprint
        self._ran_as_suspect = False
        self._attempts: _Attempts
        if request.repeatable:
            self._attempts = repeatableattempts.RepeatableAttempts(request, entry_host)
        else:
            origin = claimmessages.KeyOrigin(key_issued_at_s, arrived_at_s, is_new_key)
            self._attempts = claimedattempts.ClaimedAttempts(
                request, entry_host, origin
            )

    def start(self, now: float) -> attemptmessages.Effects:
        """Starts the request; ``now`` is in monotonic seconds."""
        return self._attempts.start(now)

    def handle(
        self, event: attemptmessages.Event, now: float
    ) -> attemptmessages.Effects:
        """Handles an event and returns the effects to perform, in order."""
        if self.done:
            return ()
        effects = self._notify_crash(event) + self._attempts.handle(event, now)
        for effect in effects:
            if isinstance(effect, attemptmessages.SendOrder):
                self._server = effect.backend_server
                self._ran_as_suspect = effect.order.suspect
        self.done = bool(effects) and isinstance(effects[-1], attemptmessages.Done)
        return effects

    def _notify_crash(self, event: attemptmessages.Event) -> attemptmessages.Effects:
        """Notifies the other entry hosts of a crash immediately.

        Committing the report to the log takes longer, and until then a caller
        that resends a refused request through another host could crash the
        next server. Delaying the refusal until every host has been notified
        was rejected, because a request that is given up must get its final
        answer immediately.
        """
        if not isinstance(event, attemptmessages.ReplyReceived) or self._server is None:
            return ()
        refusal = event.reply.refusal
        crashed = work.RefusalReason.BACKEND_SERVER_CRASHED
        if refusal is None or refusal.reason is not crashed:
            return ()
        report = crashes.CrashReport(
            self._server.name,
            self._server.boot_id,
            (self._fingerprint,),
            (self._fingerprint,) if self._ran_as_suspect else (),
        )
        return (attemptmessages.NotifyCrash(report),)
