"""Reference models of the claim ledger, the quarantine and the cold-start limit.

They never discard anything and compute each answer from the complete history.
"""

import dataclasses

from lycheegauge.internal.protocol import changes, keys

STATUS = changes.ClaimStatus


class ReferenceLedger:
    def __init__(self, max_claims, retention_s, answer_bytes, max_answer_bytes):
        self.max_claims, self.retention_s = max_claims, retention_s
        self.answer_bytes, self.max_answer_bytes = answer_bytes, max_answer_bytes
        self.grants = []
        self.settled = {}
        self.closed = {}
        self.now = 0.0

    def last_grant(self, key):
        grants = [grant for grant in self.grants if grant.key == key]
        return grants[-1] if grants else None

    def is_retained(self, grant):
        return self.now - grant.log_time_s <= self.retention_s

    def list_retained(self):
        last = {grant.key: grant for grant in self.grants}
        return [grant for grant in last.values() if self.is_retained(grant)]

    def attempt(self, key):
        return sum(grant.key == key for grant in self.grants)

    def status(self, key):
        found = self.settled.get((key, self.attempt(key)), (STATUS.HELD, b""))
        return found

    def used_bytes(self):
        total = 0
        for grant in self.list_retained():
            status, answer = self.status(grant.key)
            held = status is STATUS.HELD
            total += self.max_answer_bytes if held else len(answer)
        return total

    def outcome(self, key, status=None):
        grant = self.last_grant(key)
        found, answer = self.status(key)
        places = [place for place, item in enumerate(self.grants) if item.key == key]
        sequence = places[-1] + 1
        return changes.ClaimOutcome(
            status or found, grant.agent, grant.incarnation,
            self.attempt(key), answer, sequence,
        )  # fmt: skip

    def apply(self, change):
        self.now = max(self.now, change.log_time_s)
        change = dataclasses.replace(change, log_time_s=self.now)
        if isinstance(change, changes.GrantClaim):
            return self.grant(change)
        return self.settle(change)

    def grant(self, change):
        last = self.last_grant(change.key)
        if last is not None and self.is_retained(last):
            if last.digest != change.digest:
                return changes.ClaimOutcome(STATUS.OTHER_CONTENT)
            status, _ = self.status(change.key)
            same = dataclasses.replace(
                change, log_time_s=0.0, issued_at_s=0.0, arrived_at_s=0.0
            ) == dataclasses.replace(
                last, log_time_s=0.0, issued_at_s=0.0, arrived_at_s=0.0
            )
            if status is STATUS.HELD and same:
                return self.outcome(change.key, STATUS.GRANTED)
            if status is not STATUS.NOT_RUN:
                return self.outcome(change.key)
        elif self.is_expired(change, last):
            return changes.ClaimOutcome(STATUS.EXPIRED)
        return self.grant_new_attempt(change)

    def is_expired(self, change, last):
        issued_at_s = keys.read_issue_time(change.key)
        remembered = last and (issued_at_s is None or issued_at_s > last.log_time_s)
        return bool(remembered) or self.now - change.issued_at_s > self.retention_s

    def grant_new_attempt(self, change):
        closed_at_s = self.closed.get(change.key, -1.0)
        refused = STATUS.NOT_RUN
        if change.agent and change.arrived_at_s > closed_at_s:
            is_new = change.key not in {grant.key for grant in self.list_retained()}
            full = is_new and len(self.list_retained()) >= self.max_claims
            room = self.used_bytes() + self.max_answer_bytes <= self.answer_bytes
            if room and not full:
                self.grants.append(change)
                return self.outcome(change.key, STATUS.GRANTED)
            refused = STATUS.FULL
        self.closed[change.key] = self.now
        return changes.ClaimOutcome(refused)

    def settle(self, change):
        last = self.last_grant(change.key)
        if last is None or not self.is_retained(last):
            return changes.ClaimOutcome(STATUS.EXPIRED)
        status, _ = self.status(change.key)
        if status in (STATUS.HELD, STATUS.UNKNOWN):
            attempt = (change.key, change.attempt)
            if change.attempt == self.attempt(change.key):
                self.settled[attempt] = (change.status, b"")
                room = self.answer_bytes - self.used_bytes()
                answer = change.answer if len(change.answer) <= room else b""
                self.settled[attempt] = (change.status, answer)
        return self.outcome(change.key)


class ReferenceQuarantine:
    def __init__(self):
        self.history = []

    def apply(self, change):
        self.history.append(change)

    def list_counted(self, fingerprint):
        """Returns the boots whose crashes count, from the whole history."""
        seen, cleared = set(), set()
        for number, change in enumerate(self.history):
            if isinstance(change, changes.ClearSuspect):
                if change.fingerprint != fingerprint:
                    continue
                if change.boots:
                    cleared |= seen & set(change.boots)
                elif not self._is_refused(seen - cleared, number, fingerprint):
                    cleared |= seen
            elif fingerprint in change.fingerprints:
                seen.add(f"{change.backend_server}/{change.boot_id}")
        return seen - cleared

    def list_alone(self, fingerprint, until=None):
        return {
            f"{change.backend_server}/{change.boot_id}"
            for change in self.history[:until]
            if isinstance(change, changes.ReportCrash)
            and fingerprint in change.fingerprints
            and fingerprint in change.alone
        }

    def is_refused(self, fingerprint):
        counted = self.list_counted(fingerprint)
        return self._is_refused(counted, None, fingerprint)

    def _is_refused(self, counted, until, fingerprint):
        return len(counted) >= 2 and bool(counted & self.list_alone(fingerprint, until))


class ReferenceColdLimit:
    """Replays the complete history of one server for each query."""

    def __init__(self, settings):
        self.settings = settings
        self.history = []

    def replay(self):
        settings = self.settings
        limit, running, slow_answers = settings.cold_limit, set(), 0
        since_reset, average_s = set(), settings.first_token_target_s
        for kind, ticket, value in self.history:
            target_s = settings.first_token_target_s
            threshold_s = max(settings.slow_factor * average_s, target_s)
            reset = kind in ("boot", "cold")
            if kind == "boot":
                running = set()
            if kind == "admit":
                running.add(ticket)
                since_reset.add(ticket)
            if kind == "wait":
                reset = ticket in since_reset and value > threshold_s
            if kind == "finish" and ticket in running:
                in_use = len(running) >= int(limit) / 2
                running.discard(ticket)
                if ticket in since_reset and value is not None:
                    slow_answers = slow_answers + 1 if value > threshold_s else 0
                    reset = slow_answers >= settings.slow_answers_to_reset
                    average_s += 0.0 if slow_answers else 0.1 * (value - average_s)
                    limit = limit if slow_answers else self.adjust(limit, value, in_use)
            if reset:
                limit, slow_answers, since_reset = settings.cold_limit, 0, set()
        return int(limit), len(running)

    def adjust(self, limit, first_token_s, in_use):
        if first_token_s > self.settings.first_token_target_s:
            return max(limit * 0.9, self.settings.cold_limit)
        grown = limit + self.settings.limit_increase if in_use else limit
        return min(grown, self.settings.full_limit)
