import json
import pathlib
import tempfile

import behave
import hypothesis
from hypothesis import strategies
from returns import result

from lycheegauge import errors, settings
from lycheegauge.internal.protocol import (
    announcements,
    calls,
    changes,
    codec,
    intentmodels,
    intents,
    operations,
)

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
ENTRY = {
    "name": "e",
    "availability_zone": "a",
    "caller_address": "127.0.0.1:0",
    "operator_address": "[::1]:7200",
    "peer_address": "127.0.0.1:7300",
    "log_hosts": ["127.0.0.1:7300"],
}
AGENT = {
    "name": "e",
    "availability_zone": "a",
    "peer_address": "127.0.0.1:0",
    "announce_address": "127.0.0.1:0",
    "entry_hosts": ["127.0.0.1:7300"],
}
ANNOUNCEMENT = {
    "service": "drafting",
    "engine": "completions",
    "address": "127.0.0.1:1",
    "boot_id": "b",
    "capacity": 1,
}
INTENT = {"services": [{"name": "drafting", "kind": "model", "needed_capacity": 0}]}
PLAN = {
    "plan_id": "p",
    "base_revision": 1,
    "intent": INTENT,
    "effects": [],
    "capacity_left": [],
    "warnings": [],
    "refusals": [],
}
CONFIRM = {"request_id": "r", "plan": PLAN}
DOCUMENTS = (
    intents.Plan,
    operations.StatusDocument,
    operations.Explanation,
    operations.ErrorDocument,
    operations.ConfirmBody,
    operations.ReplaceVoterBody,
    changes.ConfirmOutcome,
)

KEYS = sorted(
    {*ENTRY, *AGENT, *ANNOUNCEMENT, *PLAN, *CONFIRM, "limits", "log", "entry"}
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from(["127.0.0.1:1", "a", "1e999", "9" * 5000, "\ud800"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.sampled_from(KEYS), inner, max_size=4)
    ),
    max_leaves=8,
)


def mutate(valid):
    """Replaces or adds keys in a valid object, so that most checks are reached."""
    replaced = strategies.dictionaries(
        strategies.sampled_from([*valid, "other"]), VALUES, max_size=2
    )
    return replaced.map(lambda changed: {**valid, **changed})


def read_text(text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "some.json"
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return settings.read_settings(path)


@behave.then("any text or JSON as settings file gives settings or a settings error")
def check_settings_text(context):
    mutated = mutate(ENTRY).map(lambda entry: {"entry": entry})
    mutated |= mutate(AGENT).map(lambda agent: {"agent": agent})

    @hypothesis.given(
        strategies.binary(max_size=40)
        | strategies.text("{}[]:,'\"/*0eE+-.x \n\\aNI", max_size=40)
        | mutated.map(json.dumps)
    )
    @hypothesis.example("[" * 2000)
    @hypothesis.example("9" * 5000)
    @hypothesis.example('{"entry": null, "agent": null}')
    @hypothesis.example(json.dumps({"entry": {**ENTRY, "answer_valid_s": 1e999}}))
    @hypothesis.example(
        json.dumps({"entry": {**ENTRY, "answer_valid_s": float("nan")}})
    )
    def check(text):
        try:
            read = read_text(text)
        except errors.SettingsError as error:
            assert "some.json" in str(error)
            return
        check_written(read)

    check()


def check_written(read):
    assert read_text(read.model_dump_json()) == read


@behave.then("valid settings are unchanged after writing and reading")
def check_settings_round_trip(context):
    @hypothesis.given(
        strategies.floats(0.001, 600),
        strategies.integers(1024, 262_144),
        strategies.sampled_from(["DEBUG", "ERROR"]),
    )
    def check(answer_valid_s, header_bytes, log_level):
        entry = {
            **ENTRY,
            "answer_valid_s": answer_valid_s,
            "limits": {"header_bytes": header_bytes},
            "log_level": log_level,
        }
        read = read_text("// a comment\n" + json.dumps({"entry": entry}))
        assert read.entry.answer_valid_s == answer_valid_s
        check_written(read)

    check()


@behave.then("a settings error names the file, the key and the allowed values")
def check_settings_error(context):
    wrong = {
        "entry.limits.header_byts": ({"limits": {"header_byts": 1}}, "header_bytes"),
        "entry.nme": ({"nme": "x"}, "availability_zone"),
        "entry.limits.header_bytes": ({"limits": {"header_bytes": 1}}, "1024"),
        "entry.caller_address": ({"caller_address": "host:1"}, "IP number"),
        "entry.log_level": ({"log_level": "LOUD"}, "WARNING"),
        "entry.log.voters.0.dsk": (
            {"log": {"data_folder": "d", "voters": [{"dsk": 1}]}},
            "disk_id",
        ),
    }
    for key, (changed, allowed) in wrong.items():
        check_message(json.dumps({"entry": {**ENTRY, **changed}}), key, allowed)
    check_message(json.dumps({"entri": ENTRY}), "entri", "entry, agent")
    check_message('{"entry": {}, "entry": {}}', "entry", "uplicate")


def check_message(text, key, allowed):
    try:
        read_text(text)
    except errors.SettingsError as error:
        for part in ("some.json", key, allowed):
            assert part in str(error), (part, str(error))
        return
    raise AssertionError(f"invalid settings were accepted: {text}")


@behave.then("every settings file and every intent under examples is valid")
def check_examples(context):
    files = sorted(EXAMPLES.rglob("*.json"))
    assert len(files) > 20
    for path in files:
        if path.name == "intent.json":
            read = intentmodels.parse_intent(path.read_text())
            assert isinstance(read, result.Success), (path, read)
        else:
            check_written(settings.read_settings(path))


def is_failure(outcome):
    if isinstance(outcome, result.Success):
        return False
    assert isinstance(outcome.failure(), errors.BorderError)
    assert outcome.failure().message and outcome.failure().step
    return True


@behave.then("any call headers give valid headers or a border error")
def check_headers(context):
    names = [
        calls.ORGANISATION_HEADER,
        calls.PRIORITY_HEADER,
        calls.DEADLINE_HEADER,
        calls.REPEATABLE_HEADER,
        calls.REQUEST_ID_HEADER,
        calls.IDEMPOTENCY_KEY_HEADER,
    ]
    values = strategies.text(max_size=6) | strategies.sampled_from(
        ["1", "-10", "true", "slot-7", "9" * 5000, "1.5", "nan", "a\n"]
    )

    @hypothesis.given(strategies.dictionaries(strategies.sampled_from(names), values))
    def check(headers):
        outcome = calls.parse_headers(headers)
        if is_failure(outcome):
            return
        valid = outcome.unwrap()
        again = calls.CallHeaders.model_validate_json(valid.model_dump_json())
        assert again == valid
        request = calls.make_request("drafting", valid, b"", "", False)
        assert codec.unpack(codec.pack(request)) == request

    check()


@behave.then("any prompt body gives a request that can be sent or a border error")
def check_prompts(context):
    prompts = strategies.text() | VALUES | strategies.just("\ud800 " * 20)
    bodies = prompts.map(lambda prompt: json.dumps({"prompt": prompt}).encode())

    @hypothesis.given(strategies.binary(max_size=40) | bodies)
    @hypothesis.example(b"[" * 100_000)
    @hypothesis.example(b'{"prompt": "' + b"\\ud800 " * 20 + b'"}')
    @hypothesis.example(b"9" * 5000)
    def check(body):
        outcome = calls.parse_prompt(body)
        if is_failure(outcome):
            return
        prompt = outcome.unwrap()
        assert json.loads(body)["prompt"] == prompt
        headers = calls.CallHeaders()
        request = calls.make_request("drafting", headers, body, prompt, True)
        assert codec.unpack(codec.pack(request)) == request

    check()


@behave.then("any JSON as announcement gives a model or a border error")
def check_announcements(context):
    @hypothesis.given(
        strategies.binary(max_size=40)
        | (mutate(ANNOUNCEMENT) | VALUES).map(lambda value: json.dumps(value).encode())
    )
    @hypothesis.example(b"[" * 100_000)
    @hypothesis.example(json.dumps({**ANNOUNCEMENT, "report_age_s": 1e999}).encode())
    @hypothesis.example(json.dumps({**ANNOUNCEMENT, "running": 2**70}).encode())
    def check(text):
        outcome = announcements.parse_announcement(text)
        if is_failure(outcome):
            return
        check_announcement_written(outcome.unwrap())

    check()


def check_announcement_written(read):
    text = read.model_dump_json().encode()
    assert announcements.parse_announcement(text).unwrap() == read
    for count in (read.running, read.waiting, read.rank, read.capacity):
        assert count < 2**31, "too large to be sent"


@behave.then("valid announcements are unchanged after writing and reading")
def check_valid_announcements(context):
    @hypothesis.given(
        strategies.integers(1, 100_000),
        strategies.floats(0, 3600),
        strategies.lists(strategies.sampled_from(["a", "b/c"]), max_size=3),
    )
    def check(capacity, report_age_s, stored):
        given = {**ANNOUNCEMENT, "capacity": capacity, "report_age_s": report_age_s}
        given["cache_events"] = [{"sequence": 0, "stored": stored}]
        read = announcements.parse_announcement(json.dumps(given).encode()).unwrap()
        assert (read.capacity, read.report_age_s) == (capacity, report_age_s)
        check_announcement_written(read)

    check()
    unknown = announcements.parse_announcement(
        json.dumps({**ANNOUNCEMENT, "capcity": 1}).encode()
    )
    assert is_failure(unknown)
    assert "capcity" in unknown.failure().message
    assert "boot_id" in unknown.failure().message


@behave.then(
    "any bytes or JSON as operations document give a document or a border error"
)
def check_operations(context):
    plans = mutate(PLAN)
    values = plans | plans.map(lambda plan: {**CONFIRM, "plan": plan}) | VALUES
    texts = strategies.binary(max_size=40) | values.map(
        lambda value: json.dumps(value).encode()
    )

    @hypothesis.given(strategies.sampled_from(DOCUMENTS), texts)
    @hypothesis.example(intents.Plan, b"[" * 100_000)
    @hypothesis.example(operations.ErrorDocument, b"\xff")
    def check(kind, text):
        is_failure(operations.parse_document(kind, text))

    check()


@behave.then("valid operations documents are unchanged after writing and reading")
def check_valid_operations(context):
    @hypothesis.given(
        strategies.sampled_from(DOCUMENTS[:4]).flatmap(strategies.from_type)
    )
    def check(document):
        # JSON has no infinity, and no document of the system contains one.
        hypothesis.assume("inf" not in repr(document))
        text = operations.encode_document(document)
        assert operations.parse_document(type(document), text).unwrap() == document

    check()
    body = operations.parse_document(
        operations.ConfirmBody, json.dumps(CONFIRM).encode()
    ).unwrap()
    confirmation = changes.ConfirmPlan("r", "p", 1, body.plan.intent)
    assert codec.unpack(codec.pack(confirmation)) == confirmation


@behave.then("a confirmation with an unknown key or an invalid intent is refused")
def check_confirmations(context):
    service = INTENT["services"][0]
    wrong = {
        "extra": {**CONFIRM, "extra": 1},
        "pln": {**CONFIRM, "plan": {**PLAN, "pln": 1}},
        "services": {
            **CONFIRM,
            "plan": {**PLAN, "intent": {"services": [{**service, "needed": 1}]}},
        },
        "needed_capacity": {
            **CONFIRM,
            "plan": {
                **PLAN,
                "intent": {"services": [{**service, "needed_capacity": 2**70}]},
            },
        },
        "base_revision": {**CONFIRM, "plan": {**PLAN, "base_revision": 2**70}},
    }
    for key, body in wrong.items():
        outcome = operations.parse_document(
            operations.ConfirmBody, json.dumps(body).encode()
        )
        assert is_failure(outcome), key
        assert key in outcome.failure().message, (key, outcome.failure())
