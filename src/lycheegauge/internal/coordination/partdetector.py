"""Detects parts of prompts that crash the servers that answer requests with them.

A crash is evidence against each shared part of the requests that had not been answered
for longer than ``SETTLED_S`` when the server broke off: by then the answer would have
crashed it. The evidence is the improbability that such a request was there by chance,
given how often requests with the part are answered. A part that many requests share is
therefore no suspect, although it runs beside every crash; and it is cleared as soon as
a request with it that was sent after the crash is answered. Strong evidence does not
refuse a part, as it may have come into use just before the crashes: requests with it
run alone then, and a crash of one refuses it.
"""

import collections
import collections.abc
import dataclasses
import math

from lycheegauge.internal.coordination import retrials
from lycheegauge.internal.protocol import changes, freshness, roster

SETTLED_S = 0.5
"""How long an answer is written until its request is known not to crash its server, in
seconds."""

ANSWERED_MEMORY_S = 30.0
"""How long answers count in the frequency of a part, in seconds; up to twice that."""

PRIOR_ANSWERS = 50.0
"""Answers without any given part that are assumed before any are known."""

PRIOR_PART_ANSWERS = 0.5
"""Answers with a part that are assumed before any are known."""

ANSWERED_PARTS_MAX = 8_192
PARTS_PER_REQUEST_MAX = 32
MAX_PENDING_REPORTS = 64
MAX_PENDING_CLEARANCES = 256
MAX_PENDING_ESTIMATES = 256

Suspicions = dict[str, tuple[str, ...]]
"""The crashed boots by part, of suspected parts only."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """An attempt that may have crashed its server.

    Attributes:
        parts: The shared parts of its prompt.
        open_requests: Estimated number of open requests at the server, of all hosts.
        alone: The suspected parts, if it was the only suspect of its service.
    """

    parts: tuple[str, ...]
    open_requests: float
    alone: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PartEstimate:
    """What the evidence of one crash against one part was computed from.

    Attributes:
        part: The service and the part's id.
        frequency: Estimated fraction of sound requests that have the part.
        open_requests: Number of requests that may have been open at the server.
        evidence: Negative decimal logarithm of the probability that one of them had
            the part by chance.
    """

    part: str
    frequency: float
    open_requests: float
    evidence: float


class _AnswerCounts:
    """Counts answers by part over the last 30 to 60 seconds."""

    def __init__(self) -> None:
        self._current: collections.Counter[str] = collections.Counter()
        self._previous: collections.Counter[str] = collections.Counter()
        self._totals = [0, 0]
        self._began_at = -math.inf

    def count(self, parts: collections.abc.Iterable[str], now: float) -> None:
        if now - self._began_at > ANSWERED_MEMORY_S:
            self._previous, self._current = self._current, collections.Counter()
            self._totals = [0, self._totals[0]]
            self._began_at = now
        self._totals[0] += 1
        for part in parts:
            if part in self._current or len(self._current) < ANSWERED_PARTS_MAX:
                self._current[part] += 1

    def estimate_frequency(self, part: str) -> float:
        """Returns the estimated fraction of sound requests that have a part."""
        answers = self._current[part] + self._previous[part]
        return (answers + PRIOR_PART_ANSWERS) / (sum(self._totals) + PRIOR_ANSWERS)


class PartDetector:
    """Collects evidence against parts, and tracks which ones are refused."""

    def __init__(self) -> None:
        self.known = freshness.CrashingPartList(-1)
        self._listed: dict[str, freshness.CrashingPart] = {}
        self._suspected: Suspicions = {}
        self._cleared: dict[str, frozenset[str]] = {}
        self._retrials = retrials.Retrials()
        self._answers = _AnswerCounts()
        self._estimates: collections.deque[PartEstimate] = collections.deque(
            maxlen=MAX_PENDING_ESTIMATES
        )
        self._pending_reports: dict[str, changes.ReportPartCrash] = {}
        self._pending_clearances: dict[str, changes.ClearPart] = {}

    def find_refused(self, parts: collections.abc.Iterable[str]) -> str:
        """Returns a part that must not run, or an empty string."""
        listed = self._list_suspects(parts)
        return next((item.part for item in listed if item.is_refused), "")

    def find_suspected(self, parts: collections.abc.Iterable[str]) -> tuple[str, ...]:
        """Returns the parts that most evidence is against, if any must run alone.

        A crash of a request that runs alone is evidence against these.
        """
        listed = self._list_suspects(parts)
        most = max((item.evidence for item in listed), default=0.0)
        return tuple(item.part for item in listed if item.evidence == most)

    def take_retrial(self, part: str, now: float) -> bool:
        """Tells whether a request with a refused part may run alone once more."""
        crashes_alone = self._listed[part].crashes_alone
        return self._retrials.take(part, crashes_alone, now)

    def _list_suspects(
        self, parts: collections.abc.Iterable[str]
    ) -> list[freshness.CrashingPart]:
        """Lists those parts that must run alone or are refused."""
        if not self._listed:
            return []
        listed = [self._listed[part] for part in parts if part in self._listed]
        return [
            item
            for item in listed
            if not self._cleared.get(item.part, frozenset()).issuperset(item.boots)
        ]

    def list_suspicions(self, parts: collections.abc.Iterable[str]) -> Suspicions:
        """Lists the crashes that an answer that begins now would clear of."""
        suspected = self._suspected
        return {part: suspected[part] for part in parts if part in suspected}

    def note_settled(
        self, parts: collections.abc.Iterable[str], suspicions: Suspicions, now: float
    ) -> None:
        """Records an answer that did not crash its server.

        Args:
            parts: The shared parts of its request's prompt.
            suspicions: What ``list_suspicions`` returned when it was sent.
            now: Current time in seconds.
        """
        self._answers.count(parts, now)
        for part, boots in suspicions.items():
            self._pending_clearances[part] = changes.ClearPart(part, boots, False, 0.0)
            if part in self._listed:
                # Takes effect on this host before the log has committed it.
                known = self._cleared.get(part, frozenset())
                self._cleared[part] = known.union(boots)
        while len(self._pending_clearances) > MAX_PENDING_CLEARANCES:
            del self._pending_clearances[next(iter(self._pending_clearances))]

    def report_crash(
        self, server: roster.ServerListing, suspects: list[Suspect]
    ) -> None:
        """Reports the evidence of a server's crash."""
        parts = sorted({part for suspect in suspects for part in suspect.parts})
        if not parts:
            return
        count = max(len(suspects), *(suspect.open_requests for suspect in suspects))
        evidence = tuple(self._weigh(part, count) for part in parts)
        self._estimates.extend(
            PartEstimate(
                part, self._answers.estimate_frequency(part), count, part_evidence
            )
            for part, part_evidence in zip(parts, evidence, strict=True)
        )
        self._pending_reports[server.incarnation] = changes.ReportPartCrash(
            server.name,
            str(server.born_ms),
            tuple(parts),
            evidence,
            0.0,
            tuple(sorted({part for suspect in suspects for part in suspect.alone})),
        )
        while len(self._pending_reports) > MAX_PENDING_REPORTS:
            del self._pending_reports[next(iter(self._pending_reports))]

    def pop_estimates(self) -> tuple[PartEstimate, ...]:
        """Returns the estimates of the crashes reported since the last call."""
        estimates = tuple(self._estimates)
        self._estimates.clear()
        return estimates

    def _weigh(self, part: str, count: float) -> float:
        """Returns how improbable it is that a sound part was there, as -log10."""
        frequency = min(0.99, self._answers.estimate_frequency(part))
        return -math.log10(1.0 - (1.0 - frequency) ** max(1.0, count))

    # Exchange with the control service.

    def attach_reports(self, pull: roster.RosterPull) -> roster.RosterPull:
        """Adds unacknowledged reports; they are resent until the log has them."""
        return dataclasses.replace(
            pull,
            part_crashes=tuple(self._pending_reports.values()),
            cleared_parts=tuple(self._pending_clearances.values()),
            part_list_version=self.known.version,
        )

    def apply_reply(self, pull: roster.RosterPull, reply: roster.RosterReply) -> None:
        """Applies the leader's list; drops the reports that the log has recorded."""
        if reply.part_list is not None and reply.part_list.version > self.known.version:
            self.known = reply.part_list
            parts = reply.part_list.parts
            self._listed = {
                item.part: item for item in parts if item.runs_alone or item.is_refused
            }
            self._suspected = {item.part: item.boots for item in parts}
            self._cleared = {
                part: boots
                for part, boots in self._cleared.items()
                if part in self._listed
            }
        if not reply.has_recorded:
            return
        for report in pull.part_crashes:
            for key, pending in list(self._pending_reports.items()):
                if pending == report:
                    del self._pending_reports[key]
        for clearance in pull.cleared_parts:
            if self._pending_clearances.get(clearance.part) == clearance:
                del self._pending_clearances[clearance.part]
