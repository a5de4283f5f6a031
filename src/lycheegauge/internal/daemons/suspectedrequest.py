"""Lets a request that may have crashed servers run while no other such request does."""

from lycheegauge.internal.coordination import crashes, forwardrules, refusals
from lycheegauge.internal.daemons import forwarder, requestadmission, requestrecord
from lycheegauge.internal.protocol import work
from lycheegauge.internal.transport import clock

WAIT_MAX_S = 2.0
"""Maximum wait of a suspected request for the slot of its service, in seconds."""

WAIT_DIVISOR = 2
"""A suspected request waits at most its time to the deadline divided by this."""


class SuspectedRequest:
    """Decides whether one request may be sent, given the crashes that it was at.

    Attributes:
        is_request_alone: Whether the request runs as the only suspect of its service.
        parts_alone: The parts of its prompt that do, if the request itself is none.

    Args:
        shared: The state shared by all requests of the entry host.
        admission: What applies to the request.
        record: Logs what happens to the request.
    """

    def __init__(
        self,
        shared: forwarder.Forwarder,
        admission: requestadmission.RequestAdmission,
        record: requestrecord.RequestRecord,
    ) -> None:
        self._shared = shared
        self._admission = admission
        self._record = record
        self._known_crashes: frozenset[str] = frozenset()
        self._has_broken_off = False
        self._has_slot = False
        self.is_request_alone = False
        self.parts_alone: tuple[str, ...] = ()

    async def enter(self) -> forwardrules.GivenUp | None:
        """Waits until the request may be sent; returns the reason if it may not.

        Call it before each attempt. A suspect takes the slot of its service, and keeps
        it until an attempt breaks off or ``leave`` is called.
        """
        if self._has_broken_off:
            self.leave()
        left_s = min(WAIT_MAX_S, self._admission.remaining_s / WAIT_DIVISOR)
        until = clock.read_clock() + left_s
        while True:
            refusal = self._find_refusal()
            if refusal is not None:
                return refusal
            if not self._is_suspected() or self._take_slot():
                self._known_crashes = self._list_crashes()
                return None
            left_s = until - clock.read_clock()
            runs, service = self._shared.suspect_runs, self._admission.service
            if not await runs.wait_for_change(service, left_s):
                return self._refuse_waiting()

    def note_broken_off(self) -> None:
        """Records that the attempt broke off, so that its server may have crashed."""
        self._has_broken_off = True
        self._admission.is_retrial = False

    def note_answered(self) -> None:
        """Records that the request was answered, which clears it of earlier crashes."""
        if self._known_crashes:
            self._shared.crashdetector.record_answered(
                self._admission.digest_request(), self._known_crashes
            )
            self._shared.suspect_runs.note_change()

    def leave(self) -> None:
        """Returns the slot, if the request has it."""
        if self._has_slot:
            self._has_slot = False
            runs = self._shared.suspect_runs
            runs.slots.release(
                self._admission.service, clock.read_clock(), self._has_broken_off
            )
            runs.note_change()
        self.is_request_alone, self.parts_alone = False, ()
        self._has_broken_off = False

    def _find_refusal(self) -> forwardrules.GivenUp | None:
        """Returns why the request must not run, unless it may once more."""
        if self._admission.is_retrial:
            return None
        detector = self._shared.crashdetector
        if detector.has_suspects:
            verdict = detector.get_verdict(self._admission.digest_request())
            if verdict is crashes.Verdict.REFUSED:
                return refusals.refuse(work.RefusalReason.QUARANTINED)
        part = detector.parts.find_refused(self._admission.parts)
        return requestadmission.refuse_part(part) if part else None

    def _is_suspected(self) -> bool:
        """Tells whether the request may only run in the slot of its service."""
        detector, admission = self._shared.crashdetector, self._admission
        is_request_suspected = detector.has_suspects and detector.must_run_alone(
            admission.digest_request()
        )
        parts = detector.parts.find_suspected(admission.parts)
        # If both are suspected, a crash shows only that the whole request causes it.
        self.is_request_alone = is_request_suspected
        self.parts_alone = () if is_request_suspected else parts
        return is_request_suspected or bool(parts)

    def _list_crashes(self) -> frozenset[str]:
        detector = self._shared.crashdetector
        if not detector.has_suspects:
            return frozenset()
        return detector.list_crashes(self._admission.digest_request())

    def _take_slot(self) -> bool:
        service, now = self._admission.service, clock.read_clock()
        if self._has_slot:
            return True
        if not self._shared.suspect_runs.slots.take(service, now):
            return False
        self._has_slot = True
        self._record.write_runs_alone(
            service,
            self._admission.digest_request(),
            self._list_crashes(),
            self.parts_alone,
        )
        return True

    def _refuse_waiting(self) -> forwardrules.GivenUp:
        if self._admission.is_retrial:
            self._admission.is_retrial = False
            refusal = self._find_refusal()
            if refusal is not None:
                return refusal
        detail = "it may have crashed servers, and another such request runs"
        return refusals.refuse(work.RefusalReason.SUSPECT_BUSY, detail)
