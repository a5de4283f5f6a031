import behave
import hypothesis
from hypothesis import strategies
from returns import pipeline
from support import requestreferences, requeststreams

from lycheegauge import errors
from lycheegauge.internal.coordination import (
    admission,
    answers,
    attemptmessages,
    startmarks,
)
from lycheegauge.internal.protocol import changes, ledger, work
from lycheegauge.internal.state import claims, quarantine, tombstones

KEYS = ("a/own", "a/own", "a/own", "b/lg1.0.00", "c/lg1.40.00", "d/other")
ISSUED = {"b/lg1.0.00": 0.0, "c/lg1.40.00": 40.0}
SETTLED_STATUSES = (
    changes.ClaimStatus.ANSWERED,
    changes.ClaimStatus.NOT_RUN,
    changes.ClaimStatus.UNKNOWN,
)
LIMIT_EVENTS = ("admit",) * 6 + ("finish",) * 6 + ("wait", "boot", "cold")
SETTINGS = admission.AdmissionSettings(1, 4, 1.0, 1.0, 4.0, 2)

seconds = strategies.sampled_from((0, 0, 5, 10, 15, 30, 60)).map(float)
grants = strategies.builds(
    changes.GrantClaim,
    key=strategies.sampled_from(KEYS),
    organisation=strategies.just("o"),
    digest=strategies.sampled_from(("d", "d", "d", "e")),
    agent=strategies.sampled_from(("one", "two", "")),
    incarnation=strategies.just("1"),
    request_id=strategies.sampled_from(("r", "s")),
    issued_at_s=seconds,
    log_time_s=seconds,
    arrived_at_s=seconds,
).map(
    lambda grant: changes.GrantClaim(
        grant.key, grant.organisation, grant.digest, grant.agent, grant.incarnation,
        grant.request_id, ISSUED.get(grant.key, grant.log_time_s), grant.log_time_s,
        grant.arrived_at_s,
    )
)  # fmt: skip
settles = strategies.builds(
    changes.SettleClaim,
    key=strategies.sampled_from(KEYS),
    attempt=strategies.sampled_from((1, 1, 1, 2, 3)),
    status=strategies.sampled_from(SETTLED_STATUSES),
    answer=strategies.sampled_from((b"", b"one", b"two")),
    log_time_s=seconds,
)
ledger_changes = strategies.lists(strategies.one_of(grants, settles), max_size=14)


def grant(key, now):
    return changes.GrantClaim(key, "o", "d", "one", "1", "r", now, now, now)


def settle(key, status):
    return changes.SettleClaim(key, 1, status, b"one", 0.0)


# Regression: the size of a claim that was granted again was counted twice.
REGRANTED = [
    grant("a/own", 0.0), settle("a/own", SETTLED_STATUSES[1]), grant("a/own", 0.0),
    grant("b/lg1.0.00", 0.0), settle("b/lg1.0.00", SETTLED_STATUSES[0]),
    grant("d/other", 0.0),
]  # fmt: skip


def build_ledger():
    max_bytes = 2 * ledger.MAX_ANSWER_BYTES + 4
    return claims.ClaimLedger(
        max_claims=3, retention_s=20.0, max_total_answer_bytes=max_bytes
    )


@behave.then("the claim ledger and its reference model give the same outcomes")
def check_ledger(context):
    @hypothesis.settings(max_examples=800)
    @hypothesis.given(ledger_changes)
    @hypothesis.example(REGRANTED)
    def check(history):
        max_bytes = 2 * ledger.MAX_ANSWER_BYTES + 4
        plain = requestreferences.ReferenceLedger(
            3, 20.0, max_bytes, ledger.MAX_ANSWER_BYTES
        )
        real = build_ledger()
        for change in history:
            assert real.apply(change) == plain.apply(change), change

    check()


@behave.then("the claim ledger gives the same outcomes after a snapshot at any point")
def check_ledger_snapshot(context):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(ledger_changes, strategies.integers(0, 14))
    def check(history, cut):
        real = build_ledger()
        before = [real.apply(change) for change in history[:cut]]
        loaded = build_ledger()
        loaded.load(real.dump())
        assert loaded.dump() == real.dump() and len(before) <= cut
        for change in history[cut:]:
            assert loaded.apply(change) == real.apply(change)

    check()
    try:
        build_ledger().load(b"\xff")
    except errors.BorderError:
        return
    raise AssertionError("a damaged snapshot was loaded")


@behave.then("evicted keys of the claim ledger are expired and never granted")
def check_forgotten(context):
    real = claims.ClaimLedger(max_claims=100, retention_s=10.0)
    for number in range(5_000):
        real.apply(grant(f"o/own-{number}", float(number)))
    assert len(real) == 11
    for number in range(0, 4_989, 7):
        outcome = real.apply(grant(f"o/own-{number}", 5_000.0))
        assert outcome.status is changes.ClaimStatus.EXPIRED, number
    small = tombstones.Tombstones(generation_keys=4, max_generations=2)
    for number in range(100):
        small.add(str(number))
        assert str(number) in small
    assert sum(map(len, small.dump())) <= 2 * 4 * 8 and "0" not in small


@behave.then("start marks in bounded memory never treat a known order as unseen")
def check_marks(context):
    actions = strategies.tuples(
        strategies.sampled_from(("start", "end", "refuse", "settle")),
        strategies.integers(1, 8),
    )

    @hypothesis.settings(max_examples=500)
    @hypothesis.given(strategies.lists(actions, max_size=30))
    @hypothesis.example([("start", 1), ("end", 1), ("settle", 2), ("settle", 3)])
    def check(history):
        marks, seen = startmarks.StartMarks(max_marks=2), {}
        for kind, sequence in history:
            found = marks.find("key", sequence, sequence).state
            unseen = found is startmarks.MarkState.UNSEEN
            assert not (unseen and sequence in seen), (sequence, seen)
            if kind == "settle":
                check_settlement(marks, seen, sequence)
            elif unseen == (kind != "end"):
                state = startmarks.MarkState[MARK_STATES[kind]]
                marks.set("key", sequence, startmarks.StartMark(state, sequence))
                seen[sequence] = kind
        assert len(marks) <= 2 + 8

    check()


MARK_STATES = {"start": "STARTED", "end": "ANSWERED", "refuse": "NEVER"}


def check_settlement(marks, seen, sequence):
    question = work.SettlementRequest("key", sequence, "1", sequence)
    status = marks.settle(question).status
    if status is work.SettlementStatus.WILL_NEVER_START:
        assert seen.setdefault(sequence, "refuse") == "refuse"
    seen.setdefault(sequence, "forgotten")


@behave.then("the cold start limit and its reference model admit the same requests")
def check_limit(context):
    times_s = strategies.sampled_from((0.1, 0.1, 0.1, 0.5, 1.5, 4.5, 9.0))
    events = strategies.tuples(
        strategies.sampled_from(LIMIT_EVENTS),
        strategies.integers(0, 3),
        strategies.one_of(*[times_s] * 5, strategies.none()),
    )

    @hypothesis.settings(max_examples=800)
    @hypothesis.given(strategies.lists(events, max_size=40))
    def check(history):
        real = admission.ColdStartLimit(SETTINGS, "boot-0")
        plain = requestreferences.ReferenceColdLimit(SETTINGS)
        tickets = []
        for number, (kind, place, value) in enumerate(history):
            drive_limit(real, plain, tickets, kind, (number, place, value))
            assert (real.limit, real.running) == plain.replay()

    check()


def drive_limit(real, plain, tickets, kind, detail):
    number, place, value = detail
    if kind == "admit":
        limit, running = plain.replay()
        admitted = real.admit()
        assert pipeline.is_successful(admitted) == (running < limit)
        if pipeline.is_successful(admitted):
            tickets.append((number, admitted.unwrap()))
            plain.history.append(("admit", number, None))
    elif kind in ("boot", "cold"):
        real.take_boot_id(f"boot-{number}") if kind == "boot" else (
            real.note_cold_report()
        )
        plain.history.append((kind, None, None))
    elif tickets and (kind == "finish" or value is not None):
        name, ticket = tickets[place % len(tickets)]
        if kind == "finish":
            tickets.remove((name, ticket))
            real.finish(ticket, value, succeeded=True)
        else:
            real.check_wait_time(value, ticket)
        plain.history.append((kind, name, value))


@behave.then(
    "the quarantine list and its reference model suspect the same fingerprints"
)
def check_quarantine(context):
    names = strategies.sampled_from("xyz")
    reports = strategies.builds(
        changes.ReportCrash,
        backend_server=strategies.just("s"),
        boot_id=strategies.sampled_from("123"),
        fingerprints=strategies.lists(names, unique=True).map(tuple),
        log_time_s=strategies.just(1.0),
        alone=strategies.lists(names, unique=True, max_size=1).map(tuple),
    )
    boots = strategies.lists(
        strategies.sampled_from(["s/1", "s/2", "s/3"]), unique=True
    ).map(tuple)
    # Without boots, as hosts of older versions send it.
    clears = strategies.builds(changes.ClearSuspect, names, strategies.just(1.0), boots)

    @hypothesis.settings(max_examples=500)
    @hypothesis.given(strategies.lists(strategies.one_of(reports, clears), max_size=10))
    def check(history):
        real, plain = (
            quarantine.QuarantineList(),
            requestreferences.ReferenceQuarantine(),
        )
        for change in history:
            real.apply(change)
            plain.apply(change)
        counted = {name: plain.list_counted(name) for name in "xyz"}
        refused = {name for name in "xyz" if plain.is_refused(name)}
        assert set(real.current.refused) == refused
        assert set(real.current.suspects) == {n for n in "xyz" if counted[n]} - refused
        listed = {item.fingerprint: item for item in real.current.repeated_crashes}
        assert set(listed) == {name for name in "xyz" if len(counted[name]) > 1}
        for name, item in listed.items():
            assert set(item.boots) == counted[name]
            assert set(item.alone) == counted[name] & plain.list_alone(name)
        loaded = quarantine.QuarantineList()
        loaded.load(real.dump())
        assert loaded.current == real.current

    check()


@behave.then(
    "an answer's chunks give the exact answer or leave it detectably incomplete"
)
def check_assembler(context):
    @hypothesis.settings(max_examples=400)
    @hypothesis.given(
        strategies.randoms(use_true_random=False), strategies.integers(0, 12)
    )
    def check(source, count):  # fmt: skip
        assembler, passed, late = answers.AnswerAssembler(), [], []
        for attempt in range(1, 5):
            resume_at, total = assembler.begin_attempt(attempt), count + attempt
            assert resume_at == len(passed)
            # Some engines cannot resume and send the answer from its start.
            start = source.choice((0, resume_at))
            sent = requeststreams.make_messages(attempt, start, total, source)
            messages = requeststreams.disturb(sent + late, source)
            # The last attempt arrives completely, after leftover old messages.
            for message in messages if attempt < 4 else [*late, *sent]:
                for chunk in requeststreams.feed(assembler, message):
                    wanted = range(len(passed), len(passed) + len(chunk.tokens))
                    assert chunk.tokens == tuple(f"{attempt}.{i}" for i in wanted)
                    passed.extend(chunk.tokens)
                assert assembler.is_complete <= (len(passed) == total)
            late = [*late, *sent]
            if assembler.is_complete:
                break
        assert assembler.is_complete

    check()


@behave.then("a resumed stream gives each token of the answer once")
def check_resumed(context):
    @hypothesis.given(
        strategies.integers(0, 20),
        strategies.lists(strategies.integers(0, 9), max_size=2),
    )
    def check(count, cuts):
        stream = requeststreams.Stream(count, cuts)
        stream.run()
        assert stream.passed == stream.tokens
        assert stream.ended == count and stream.refused is None

    check()


@behave.then(
    "a request whose streams all break ends with an aborted connection, not an end"
)
def check_cut(context):
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 5), min_size=3, max_size=3)
    )
    @hypothesis.example([0, 0, 0])
    def check(cuts):
        stream = requeststreams.Stream(20, cuts)
        stream.run()
        assert stream.ended is None and stream.passed == stream.tokens[: sum(cuts)]
        assert stream.refused.is_partial == bool(sum(cuts))
        assert stream.refused.refusal.run_state is work.RunState.UNKNOWN

    check()


@behave.then("cancelling a repeatable request at any point reaches the engine")
def check_cancelled(context):
    deadline = attemptmessages.TimerFired(attemptmessages.Timer.DEADLINE)
    for event in (attemptmessages.CallerDisconnected(), deadline):
        for point in range(8):
            stream = requeststreams.Stream(8, [], stop=(point, event))
            stream.run()
            assert stream.cancelled == 1 and stream.ended is None, point
            assert [agent.running for agent in stream.agents.values()] == [0] * 4
            assert all(agent.limit.running == 0 for agent in stream.agents.values())


@behave.then("a key closed by the claim ledger stays closed for earlier arrivals")
def check_closed(context):
    real = claims.ClaimLedger()
    for number in range(claims.MAX_CLOSED_KEYS + 1):
        question = changes.GrantClaim(
            f"o/{number}", "o", "d", "", "", "r", 1.0, 1.0 + number / 10, 1.0
        )
        assert real.apply(question).status is changes.ClaimStatus.NOT_RUN
    loaded = claims.ClaimLedger()
    loaded.load(real.dump())
    for arrived_at_s, status in ((1.0, "NOT_RUN"), (1_000.0, "GRANTED")):
        late = changes.GrantClaim(
            "o/0", "o", "d", "one", "1", "r", 1.0, 999.0, arrived_at_s
        )
        assert loaded.apply(late).status is changes.ClaimStatus[status]
