"""One service's stream admission at one entry host: its state and its decisions.

It owns no tasks and no clock: a daemon feeds it arrivals, ends, gaps between events and
what the host knows of the others, and starts or refuses the requests that it names.
"""

import copy
import dataclasses
import random

from lycheegauge.internal.coordination import (
    streamadmission,
    streamcapacity,
    streamwaiting,
)
from lycheegauge.internal.protocol import routetables


@dataclasses.dataclass(frozen=True, slots=True)
class GateRules:
    """What the route table and the settings say about a service.

    Attributes:
        profile: Its engines.
        target_gap_s: The smallest pause target of its routes, in seconds.
        levels: Its distinct priorities, the most urgent first.
        queue_length: The most requests that wait.
        wait_max_s: The longest wait, in seconds.
    """

    profile: routetables.EngineProfile
    target_gap_s: float
    levels: tuple[int, ...]
    queue_length: int
    wait_max_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GateView:
    """What a host knows of a service beyond its own streams.

    Attributes:
        servers: The number of usable servers.
        slots: Their slots; 0 if unknown.
        others: Streams that all other hosts have open.
        fraction: This host's fraction of all limits; 0 without a lease.
        news_interval_s: Time between two updates of ``others``, in seconds.
    """

    servers: int
    slots: int
    others: float
    fraction: float
    news_interval_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ruling:
    """A decision on a new request, and the waiting ones that it displaced."""

    decision: streamadmission.Decision
    displaced: tuple[streamwaiting.Stream, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The decision that a request would get, and what it depends on.

    Attributes:
        decision: The decision.
        host: What the host knows.
        level: The level of the request; 0 is the most urgent.
        levels: The number of levels.
        pass_age_s: The age of the measured pass time, in seconds; ``None`` if it is
            modelled.
        retry_after_s: When to retry a refused request, in seconds.
    """

    decision: streamadmission.Decision
    host: streamadmission.HostLoad
    level: int
    levels: int
    pass_age_s: float | None
    retry_after_s: float


class StreamGate:
    """Admits the streams of one service at one host.

    Args:
        rules: What the route table and the settings say.
        random_source: Rounds allowances and spreads retries.
    """

    def __init__(self, rules: GateRules, random_source: random.Random) -> None:
        self.rules = rules
        self.meter = streamcapacity.PassMeter()
        self.waiting = streamwaiting.WaitingStreams(
            len(rules.levels), rules.queue_length
        )
        self.own = 0
        self._estimator = streamcapacity.CapacityEstimator(rules.profile)
        self._rates = streamadmission.ArrivalRates(len(rules.levels))
        self._extra = streamadmission.ExtraAllowance(random_source)
        self._random_source = random_source
        self._replaceable = 0
        self._history = streamcapacity.OpenHistory()

    def find_level(self, priority: int) -> int:
        """Returns the level of a priority; an unknown one takes the next urgent."""
        levels = self.rules.levels
        lower = sum(other < priority for other in levels)
        return min(lower, len(levels) - 1)

    def set_rules(self, rules: GateRules) -> None:
        """Applies a new route table; requests that wait keep waiting."""
        if rules == self.rules:
            return
        waiting = tuple(self.waiting)
        self.rules = rules
        self.waiting = streamwaiting.WaitingStreams(
            len(rules.levels), rules.queue_length
        )
        self._estimator = streamcapacity.CapacityEstimator(rules.profile)
        self._rates = streamadmission.ArrivalRates(len(rules.levels))
        for stream in waiting:
            stream.is_waiting = False
            stream.level = self.find_level(stream.priority)
            self.waiting.add(stream, stream.queued_at)

    def observe(self, view: GateView, now: float) -> None:
        """Records the open streams, by which later pass times are judged."""
        self._history.note(self.own + view.others, now)

    def measure(
        self, view: GateView, now: float
    ) -> tuple[streamcapacity.GroupLoad, streamcapacity.StreamCapacity]:
        """Estimates the capacity from what is known now; changes nothing."""
        open_streams = self.own + view.others
        load = streamcapacity.GroupLoad(
            view.servers,
            view.slots,
            open_streams,
            self._history.get_mean(open_streams, now),
            self.meter.get_pass(now),
            self.rules.target_gap_s,
        )
        return load, self._estimator.estimate(load)

    def describe(
        self, level: int, view: GateView, now: float
    ) -> streamadmission.HostLoad:
        """Returns what a decision on a new request depends on; changes nothing."""
        _, capacity = self.measure(view, now)
        return self._make_host_load(level, capacity, view, now)

    def explain(
        self, stream: streamwaiting.Stream, view: GateView, now: float
    ) -> Explanation:
        """Explains the decision that a request would get now.

        It draws numbers as the decision does, and changes nothing else.
        """
        gate = self._copy()
        level = gate.find_level(stream.priority)
        capacity = gate._update(view, now)
        host = gate._make_host_load(level, capacity, view, now)
        decision = gate._decide(stream, host, now)
        stream.level = level
        if decision.verdict is streamadmission.Verdict.WAIT and not (
            gate.waiting.has_room(stream)
        ):
            decision = _refuse_full(decision)
        retry_after_s = 0.0
        if decision.verdict is streamadmission.Verdict.REFUSE:
            retry_after_s = gate.compute_retry_after(stream, decision.expected_s, now)
        return Explanation(
            decision,
            host,
            level,
            len(gate.rules.levels),
            gate.meter.get_age(now),
            retry_after_s,
        )

    def _copy(self) -> "StreamGate":
        """Returns a copy whose estimates can be updated; it shares the queue."""
        copied = copy.copy(self)
        copied.meter = self.meter.copy()
        copied._history = self._history.copy()
        copied._estimator = copy.copy(self._estimator)
        copied._rates = copy.copy(self._rates)
        copied._extra = copy.copy(self._extra)
        return copied

    def arrive(
        self, stream: streamwaiting.Stream, view: GateView, now: float
    ) -> Ruling:
        """Decides about a new request; one that waits is queued."""
        capacity = self._update(view, now)
        stream.level = self.find_level(stream.priority)
        host = self._make_host_load(stream.level, capacity, view, now)
        self._rates.note_arrival(stream.level, now)
        self.waiting.note_work(stream)
        decision = self._decide(stream, host, now)
        if decision.verdict is streamadmission.Verdict.START:
            self._open(stream, host)
            self.waiting.note_start(stream.level)
            return Ruling(decision)
        if decision.verdict is streamadmission.Verdict.REFUSE:
            self.waiting.note_refused(stream, now)
            return Ruling(decision)
        is_queued, displaced = self.waiting.add(stream, now)
        for other in displaced:
            self.waiting.note_refused(other, now)
        if is_queued:
            stream.waits_until = now + decision.wait_max_s
            return Ruling(decision, displaced)
        self.waiting.note_refused(stream, now)
        return Ruling(_refuse_full(decision), displaced)

    def start_waiting(
        self, view: GateView, now: float
    ) -> tuple[streamwaiting.Stream, ...]:
        """Starts the waiting requests for which there is capacity now.

        Returns:
            The requests that no longer wait. Those that are not open are refused:
            their time has passed while this process was paused, or ranks have become
            too slow for them.
        """
        if not len(self.waiting):
            return ()
        capacity = self._update(view, now)
        ended: list[streamwaiting.Stream] = []
        while (found := self.waiting.peek(now)) is not None:
            stream, ignores_headroom = found
            if now >= stream.waits_until or not streamadmission.can_finish(
                capacity,
                self.own + view.others,
                stream.work,
                stream.deadline - now,
            ):
                self.waiting.remove(stream)
                self.waiting.note_refused(stream, now)
                ended.append(stream)
                continue
            host = self._make_host_load(stream.level, capacity, view, now)
            if host.count_places(ignores_headroom) < 1.0:
                break
            self.waiting.take(stream, now)
            self._open(stream, host)
            ended.append(stream)
        return tuple(ended)

    def leave(self, stream: streamwaiting.Stream, now: float) -> None:
        """Records the end of a request, whether it has started or still waits."""
        if stream.is_open:
            stream.is_open = False
            self.own -= 1
            self._replaceable += 1
            if len(self.waiting):
                self._extra.note_end()
        elif stream.is_waiting:
            self.waiting.remove(stream)

    def refuse(self, stream: streamwaiting.Stream, view: GateView, now: float) -> float:
        """Ends a request's wait; returns after how many seconds it should retry."""
        if stream.is_waiting:
            self.waiting.remove(stream)
            self.waiting.note_refused(stream, now)
        host = self.describe(stream.level, view, now)
        return self.compute_retry_after(
            stream, streamadmission.estimate_wait(host), now
        )

    def compute_retry_after(
        self, stream: streamwaiting.Stream, expected_s: float, now: float
    ) -> float:
        """Returns after how many seconds a refused request should be sent again."""
        left_s = stream.deadline - now
        return streamadmission.compute_retry_after(
            expected_s, left_s, self._random_source
        )

    def get_next_renewal(self) -> float:
        """Returns when this host may use more of the free capacity, in seconds."""
        return self._extra.renews_at

    def _update(self, view: GateView, now: float) -> streamcapacity.StreamCapacity:
        self.observe(view, now)
        load, capacity = self.measure(view, now)
        self._estimator.learn(load, capacity, now)
        if view.fraction > 0.0:
            # Replacements count from the end of the lease.
            self._replaceable = 0
        free = capacity.limit - load.open_streams
        self._extra.renew(
            view.fraction, free, view.news_interval_s, len(self.waiting) > 0, now
        )
        return capacity

    def _make_host_load(
        self,
        level: int,
        capacity: streamcapacity.StreamCapacity,
        view: GateView,
        now: float,
    ) -> streamadmission.HostLoad:
        urgent_per_s = self._rates.get_more_urgent(level, now)
        mean_events = streamadmission.get_mean_events(self.rules.profile)
        open_streams = self.own + view.others
        growth = streamadmission.compute_growth(
            self._rates.get_up_to(level, now),
            view.fraction,
            open_streams,
            mean_events * capacity.pass_s,
            view.news_interval_s,
        )
        return streamadmission.HostLoad(
            capacity,
            self.own,
            view.others,
            view.fraction,
            self._extra.left,
            self._extra.per_s,
            self._replaceable,
            streamadmission.compute_headroom(
                level,
                len(self.rules.levels),
                urgent_per_s,
                view.fraction,
                capacity.limit,
            ),
            growth,
            self.waiting.count_ahead(level, now),
            urgent_per_s,
            mean_events,
        )

    def _decide(
        self,
        stream: streamwaiting.Stream,
        host: streamadmission.HostLoad,
        now: float,
    ) -> streamadmission.Decision:
        request = streamadmission.RequestLoad(
            stream.work,
            stream.deadline - now,
            now - stream.arrived_at,
            stream.target_first_s,
            stream.target_gap_s,
        )
        return streamadmission.decide(
            host, request, self.rules.profile, self.rules.wait_max_s
        )

    def _open(
        self, stream: streamwaiting.Stream, host: streamadmission.HostLoad
    ) -> None:
        if host.fraction <= 0.0:
            self._replaceable -= 1
        elif self.own >= host.guaranteed:
            self._extra.take()
        stream.is_open = True
        self.own += 1


def _refuse_full(decision: streamadmission.Decision) -> streamadmission.Decision:
    """Turns a wait into a refusal, because no more requests can wait."""
    return dataclasses.replace(
        decision,
        verdict=streamadmission.Verdict.REFUSE,
        cause=streamadmission.Cause.QUEUE_FULL,
    )
