"""Takes servers out that fail their requests, by the findings of all entry hosts.

Each host counts the answers and failures of every server. It takes a server out if its
own last requests there all failed, or if several hosts report failures that are a large
part of the outcomes there. A server that is out gets single requests as probes, from
one host at a time, until two of them are answered. Health checks are not consulted:
servers can fail requests while theirs passes, and the other way round.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

from lycheegauge.internal.coordination import hostshares, serverlimits
from lycheegauge.internal.protocol import roster

OUTCOMES_S = 4.0
"""Age up to which outcomes count, in seconds."""

RECENT_S = 1.0
"""Age from which outcomes count half, in seconds."""

RECENT_WEIGHT = 2
OLD_WEIGHT = 1
"""Outcomes are counted in halves, so that reports hold whole numbers."""

FAILED_PARTS = 3
"""A server is out if one in this many outcomes or more are failures."""

HOSTS_MIN = 2
"""Hosts that must report failures: one alone may have a broken link."""

OWN_FAILURES = 3
"""Consecutive failures by which a host takes a server out on its own."""

OUT_PARTS = 3
"""At most one in this many servers of a service is out because of evidence."""

PROBE_WAITS_S = (1.0, 2.0, 4.0)
"""Seconds until the first probe of a server, and after each one that fails."""

GOOD_PROBES = 2
"""Consecutive answers that readmit a server."""

RELAPSE_S = 10.0
"""A server that fails again within this time, in seconds, is not probed sooner than
after its last failure. Otherwise one that fails a part of its requests would be let in
again every second."""

PROBE_START_S = 1.0
"""Time within which a request that was chosen as a probe is sent, in seconds."""

PROBE_MAX_S = 10.0
"""Longest time for which an open request counts as the only probe, in seconds."""

Key = tuple[str, int]
"""An incarnation: the server's name and its ``born_ms``."""


@dataclasses.dataclass(slots=True)
class _Findings:
    """What this host found at one incarnation of a server.

    Attributes:
        outcomes: When requests ended there, in seconds, and whether they failed.
        failures: Number of consecutive failures.
        answered_at: When the last one was answered, in seconds.
    """

    outcomes: collections.deque[tuple[float, bool]] = dataclasses.field(
        default_factory=collections.deque
    )
    failures: int = 0
    answered_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class _Outage:
    """A server that is out, or would be if fewer others were.

    Attributes:
        since: When it was taken out, in seconds.
        probe_at: When it may be probed, in seconds.
        waits: How many waits of ``PROBE_WAITS_S`` are over.
        is_own: Whether this host's findings suffice.
        hosts: How many hosts report failures; 0 if the leader does not list it.
        listed_at: When the leader last listed it, in seconds.
        good: Number of consecutive answers to probes.
        probed_until: Until when the current probe is the only one, in seconds.
    """

    since: float
    probe_at: float
    waits: int = 0
    is_own: bool = False
    hosts: int = 0
    listed_at: float = -math.inf
    good: int = 0
    probed_until: float = -math.inf


class ServerEvidence:
    """One host's findings about servers, and what it concludes from all findings.

    Args:
        from_servers: The number of servers in the roster from which evidence is used;
            0 turns it off.
        share: This host's part of the limits of all hosts, by which the servers that
            are out are divided among the hosts for probes.
    """

    def __init__(self, from_servers: int, share: hostshares.HostShareHolder) -> None:
        self._from_servers = from_servers
        self._share = share
        self._findings: dict[Key, _Findings] = {}
        self._outages: dict[Key, _Outage] = {}
        self._past: dict[Key, tuple[float, int]] = {}
        self._readmitted: dict[Key, float] = {}
        self._listed: dict[Key, roster.SuspectServer] = {}
        self._source = ""
        self.is_active = False

    def update_servers(
        self, servers: collections.abc.Collection[roster.ServerListing], now: float
    ) -> None:
        """Drops what was found at incarnations that are no longer in the roster."""
        self.is_active = 0 < self._from_servers <= len(servers)
        present = {get_key(server) for server in servers} if self.is_active else set()
        known: tuple[dict[Key, typing.Any], ...] = (
            self._findings,
            self._outages,
            self._past,
            self._readmitted,
            self._listed,
        )
        for items in known:
            for key in items.keys() - present:
                del items[key]
        for key, (ended_at, _) in list(self._past.items()):
            if ended_at < now - RELAPSE_S:
                del self._past[key]

    # Findings of this host.

    def note_answer(
        self, server: roster.ServerListing, sent_at: float, now: float
    ) -> bool:
        """Records that a request was answered completely.

        Args:
            server: The server.
            sent_at: When the request was sent, in seconds.
            now: Current time in seconds.

        Returns:
            Whether this readmits the server.
        """
        if not self.is_active:
            return False
        key = get_key(server)
        findings = self._add_outcome(key, False, now)
        findings.failures, findings.answered_at = 0, now
        outage = self._outages.get(key)
        if outage is None or sent_at < outage.since:
            # An answer to an earlier request says nothing of the time since.
            return False
        outage.good += 1
        if outage.good < GOOD_PROBES:
            return False
        self._end_outage(key, now)
        self._note_readmitted(key, now)
        return True

    def note_failure(self, server: roster.ServerListing, now: float) -> bool:
        """Records that a request failed.

        Returns:
            Whether this host's own findings now take the server out.
        """
        if not self.is_active:
            return False
        key = get_key(server)
        findings = self._add_outcome(key, True, now)
        findings.failures += 1
        self._readmitted.pop(key, None)
        outage = self._outages.get(key)
        if outage is not None:
            self._note_failed_probe(outage, now)
        if findings.failures < OWN_FAILURES:
            return False
        if outage is None:
            outage = self._begin_outage(key, now)
        is_new, outage.is_own = not outage.is_own, True
        return is_new

    def list_outcomes(self, now: float) -> tuple[roster.ServerOutcomes, ...]:
        """Lists what the leader needs: the outcomes at servers with failures.

        Answers at servers that failed at other hosts are part of it, since without
        them all known outcomes would be failures.
        """
        reported = []
        for key, findings in list(self._findings.items()):
            _drop_old(findings.outcomes, now)
            if not findings.outcomes and not findings.failures:
                del self._findings[key]
            answered, failed = _count(findings.outcomes, now)
            is_wanted = failed or (answered and key in self._listed)
            if not is_wanted and key not in self._readmitted:
                continue
            at = _find_latest(findings.outcomes, bool(failed))
            probed = GOOD_PROBES if key in self._readmitted else 0
            if probed:
                at = self._readmitted[key]
            age_ms = max(0, round((now - at) * 1000))
            reported.append(
                roster.ServerOutcomes(*key, answered, failed, age_ms, probed)
            )
        return tuple(reported)

    def _add_outcome(self, key: Key, has_failed: bool, now: float) -> _Findings:
        findings = self._findings.setdefault(key, _Findings())
        _drop_old(findings.outcomes, now)
        findings.outcomes.append((now, has_failed))
        return findings

    # Findings of all hosts.

    def apply_suspects(
        self,
        source: str,
        suspects: collections.abc.Iterable[roster.SuspectServer],
        now: float,
    ) -> tuple[str, ...]:
        """Applies the leader's list of servers that failed at several hosts.

        Args:
            source: Identifies the leader's registry.
            suspects: The list.
            now: Current time in seconds.

        Returns:
            The names of the servers that this takes out.
        """
        if not self.is_active:
            return ()
        self._listed = {(item.server, item.born_ms): item for item in suspects}
        is_same_leader, self._source = source == self._source, source
        taken_out = []
        for key, suspect in self._listed.items():
            if self._shows_failure(key, suspect, now):
                outage = self._outages.get(key)
                if outage is None:
                    outage = self._begin_outage(key, now)
                    taken_out.append(suspect.server)
                outage.hosts, outage.listed_at = suspect.failed_hosts, now
            elif key not in self._outages:
                self._readmit_by_answers(key, suspect, now)
        for key in self._readmitted.keys() - self._listed.keys():
            del self._readmitted[key]
        if is_same_leader:
            # A new leader lists a server only once hosts have reported it again.
            self._end_unlisted(now, now)
        return tuple(taken_out)

    def _shows_failure(
        self, key: Key, suspect: roster.SuspectServer, now: float
    ) -> bool:
        """Tells whether a listed server is to be out here."""
        if not _is_failing(suspect):
            return False
        failed_at = now - suspect.age_ms / 1000
        if key in self._readmitted and failed_at <= self._readmitted[key]:
            return False
        if key in self._outages:
            return True
        findings = self._findings.get(key)
        if findings is None or findings.answered_at < now - RECENT_S:
            return True
        # The own findings count more, if they contradict the report.
        answered, failed = _count(findings.outcomes, now)
        return failed * FAILED_PARTS >= failed + answered

    def _readmit_by_answers(
        self, key: Key, suspect: roster.SuspectServer, now: float
    ) -> None:
        """Counts answers as those of probes if this host goes on using a server.

        It is the host that would send the probes, and nobody else does.
        """
        findings = self._findings.get(key)
        since = now - suspect.age_ms / 1000 + PROBE_WAITS_S[0]
        if (
            not _is_failing(suspect)
            or findings is None
            or key in self._readmitted
            or not self._owns(key, now)
        ):
            return
        latest = list(findings.outcomes)[-GOOD_PROBES:]
        if len(latest) == GOOD_PROBES and all(
            at > since and not has_failed for at, has_failed in latest
        ):
            self._note_readmitted(key, now)

    def _note_readmitted(self, key: Key, now: float) -> None:
        self._readmitted[key] = now
        # Reported with the age of the readmission, earlier failures would seem new.
        findings = self._findings[key]
        answers = [item for item in findings.outcomes if not item[1]]
        findings.outcomes = collections.deque(answers)

    def _end_unlisted(self, before: float, now: float) -> None:
        """Ends what the leader no longer lists; own findings stay."""
        for key, outage in list(self._outages.items()):
            if outage.hosts and outage.listed_at < before:
                outage.hosts = 0
            if not outage.hosts and not outage.is_own:
                self._end_outage(key, now)

    # Servers that are out.

    def list_out(
        self, servers: collections.abc.Sequence[roster.ServerListing], now: float
    ) -> frozenset[Key]:
        """Lists which servers of one service are out.

        At most a part of them is out, those first at which the most hosts failed.
        """
        if not self._outages:
            return frozenset()
        # Without a leader only the own findings count.
        self._end_unlisted(now - OUTCOMES_S, now)
        keys = [key for key in map(get_key, servers) if key in self._outages]
        keys.sort(key=lambda key: (-self._outages[key].hosts, key))
        return frozenset(keys[: len(servers) // OUT_PARTS])

    def is_probe_due(self, key: Key, now: float) -> bool:
        """Tells whether this host may send a request to a server that is out."""
        outage = self._outages.get(key)
        if outage is None or now < max(outage.probe_at, outage.probed_until):
            return False
        if not outage.hosts:
            return True
        return self._owns(key, now)

    def _owns(self, key: Key, now: float) -> bool:
        """Tells whether this host is the one that probes a server for all hosts."""
        interval = self._share.get_interval(now)
        return serverlimits.count_owned(f"{key[0]} {key[1]}", 1, interval) > 0

    def take_probe(self, server: roster.ServerListing, now: float) -> None:
        """Records that a request is to be sent to a server that is out."""
        outage = self._outages.get(get_key(server))
        if outage is not None:
            outage.probed_until = now + PROBE_START_S

    def note_sent(self, server: roster.ServerListing, now: float) -> None:
        """Records that a request is sent."""
        outage = self._outages.get(get_key(server))
        if outage is not None and now < outage.probed_until:
            outage.probed_until = now + PROBE_MAX_S

    def note_ended(self, server: roster.ServerListing) -> None:
        """Records that a request ended, with or without an outcome."""
        outage = self._outages.get(get_key(server))
        if outage is not None:
            outage.probed_until = -math.inf

    def count_out(self) -> int:
        """Counts the servers that are out, or would be if fewer others were."""
        return len(self._outages)

    def _begin_outage(self, key: Key, now: float) -> _Outage:
        ended_at, waits = self._past.pop(key, (-math.inf, -1))
        waits = waits + 1 if now - ended_at < RELAPSE_S else 0
        waits = min(waits, len(PROBE_WAITS_S) - 1)
        outage = _Outage(now, now + PROBE_WAITS_S[waits], waits)
        self._outages[key] = outage
        return outage

    def _end_outage(self, key: Key, now: float) -> None:
        outage = self._outages.pop(key)
        self._past[key] = (now, outage.waits)
        if key in self._findings:
            self._findings[key].failures = 0

    def _note_failed_probe(self, outage: _Outage, now: float) -> None:
        outage.good = 0
        if now >= outage.probe_at:
            outage.waits = min(outage.waits + 1, len(PROBE_WAITS_S) - 1)
            outage.probe_at = now + PROBE_WAITS_S[outage.waits]


def get_key(server: roster.ServerListing) -> Key:
    """Returns the key of a server's incarnation."""
    return server.name, server.born_ms


def _is_failing(suspect: roster.SuspectServer) -> bool:
    """Tells whether failures are a large part of the outcomes, at several hosts."""
    total = suspect.failed + suspect.answered
    return suspect.failed_hosts >= HOSTS_MIN and suspect.failed * FAILED_PARTS >= total


def _drop_old(outcomes: collections.deque[tuple[float, bool]], now: float) -> None:
    while outcomes and outcomes[0][0] <= now - OUTCOMES_S:
        outcomes.popleft()


def _count(
    outcomes: collections.abc.Iterable[tuple[float, bool]], now: float
) -> tuple[int, int]:
    """Counts answers and failures, in halves."""
    counts = [0, 0]
    for at, has_failed in outcomes:
        if at > now - OUTCOMES_S:
            is_recent = at > now - RECENT_S
            counts[has_failed] += RECENT_WEIGHT if is_recent else OLD_WEIGHT
    return counts[0], counts[1]


def _find_latest(
    outcomes: collections.abc.Iterable[tuple[float, bool]], has_failed: bool
) -> float:
    return max((at for at, failed in outcomes if failed == has_failed), default=0.0)
