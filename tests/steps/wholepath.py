import json

import behave
from support import processes

INTENT = {
    "services": [
        {"name": "drafting", "kind": "model"},
        {"name": "booking", "kind": "plain"},
    ]
}
STREAM = {"Accept": "text/event-stream"}


@behave.given("three entry hosts with disks, two agents and two fake backend servers")
def start_whole_path(context):
    context.deployment = deployment = processes.Deployment()
    context.closers.append(deployment.close)
    for index in range(3):
        deployment.start_entry(index)
    deployment.start_backend_server("draft-1", "zone-a", "drafting", "completions")
    deployment.start_backend_server("draft-2", "zone-b", "drafting", "completions")
    deployment.start_backend_server("book-1", "zone-c", "booking", "plain")
    deployment.wait_for_members(3, 3)
    deployment.put_in_force(INTENT)


def draft(deployment, index=0, prompt="write a quote", headers=()):
    body = json.dumps({"prompt": prompt}).encode()
    path = "/v1/services/drafting"
    return processes.call(deployment.callers[index], path, body, headers)


def count_choices(deployment, backend_server):
    logs = "".join(deployment.read_log(f"entry-{index + 1}") for index in range(3))
    lines = [json.loads(line) for line in logs.splitlines()]
    return sum(
        line.get("step") == "send" and line.get("peer") == backend_server
        for line in lines
    )


@behave.when("the caller discovers the entry hosts and calls the drafting service")
def call_drafting(context):
    deployment = context.deployment
    path = "/v1/entries?availability_zone=zone-b"
    discovery = processes.call(deployment.callers[0], path).document
    assert discovery["valid_for_s"] == deployment.answer_valid_s
    addresses = [entry["address"] for entry in discovery["entries"]]
    assert addresses[0] == deployment.callers[1]
    assert sorted(addresses) == sorted(deployment.callers)
    headers = {**STREAM, "Lycheegauge-Request-Id": "first-request"}
    body = json.dumps({"prompt": "a b c"}).encode()
    path = "/v1/services/drafting"
    context.answer = processes.call(addresses[0], path, body, headers)


@behave.then("the streamed answer is complete and in order")
def check_answer(context):
    assert context.answer.status == 200, context.answer.body
    *events, (last, end) = context.answer.events()
    assert last == "end" and end["tokens"] == 20
    tokens = [token for _, event in events for token in event["tokens"]]
    assert tokens == [f"{'abc'[index % 3]}-{index} " for index in range(20)]


@behave.then("a booking through another entry host is made once")
def check_booking(context):
    deployment = context.deployment
    headers = {"Idempotency-Key": "slot-7"}
    answers = [
        processes.call(
            deployment.callers[index], "/v1/services/booking", b'{"slot": 7}', headers
        )
        for index in (1, 2, 1)
    ]
    assert [answer.status for answer in answers] == [200, 200, 200], answers
    assert {answer.body for answer in answers} == {b'{"booked": true, "run": 1}'}


@behave.then("each process logs JSON lines and the request can be explained")
def check_logs(context):
    deployment = context.deployment
    for name in ("entry-1", "draft-1"):
        for line in deployment.read_log(name).splitlines():
            assert json.loads(line)["process"] == name
    shown = deployment.run_command(
        "explain", "first-request", "--host", deployment.operators[1], "--json"
    )
    assert shown.returncode == 0, shown.stderr
    steps = [step["step"] for step in json.loads(shown.stdout)["steps"]]
    assert steps[0] == "choose" and steps[-1] == "end", steps


@behave.then("a plan alone changes nothing")
def check_plan(context):
    deployment = context.deployment
    intent = {**INTENT, "availability_zones_out": ["zone-a"]}
    (deployment.folder / "intent.json").write_text(json.dumps(intent))
    plan_file = deployment.folder / "plan.json"
    planned = deployment.run_command(
        "plan", deployment.folder / "intent.json", "--out", plan_file,
        "--host", deployment.operators[1],
    )  # fmt: skip
    assert planned.returncode == 0, planned.stderr
    assert "zone-a" in planned.stdout
    assert deployment.read_status()["availability_zones_out"] == []
    context.plan_file = plan_file


@behave.then("once it is confirmed the zone gets no new work")
def check_zone_out(context):
    deployment = context.deployment
    confirmed = deployment.run_command(
        "confirm", context.plan_file, "--host", deployment.operators[2]
    )
    assert confirmed.returncode == 0, confirmed.stderr
    processes.wait_until(lambda: deployment.read_status()["in_force"], "in force")
    before = count_choices(deployment, "draft-1")
    answers = [draft(deployment, index % 3) for index in range(9)]
    assert {answer.status for answer in answers} == {200}
    assert count_choices(deployment, "draft-1") == before


@behave.then("once it is back in service it gets work again")
def check_zone_back(context):
    deployment = context.deployment
    deployment.put_in_force(INTENT, index=1)
    before = count_choices(deployment, "draft-1")

    def reaches_zone():
        assert draft(deployment, 0).status == 200
        return count_choices(deployment, "draft-1") > before

    processes.wait_until(reaches_zone, "the zone gets work again")


@behave.when(
    "two operators plan different changes and both confirm, through different entry "
    "hosts"
)
def race_operators(context):
    deployment = context.deployment
    context.plans = [
        deployment.plan({**INTENT, "organisations": [{"name": name}]}, index).document
        for index, name in enumerate(("first", "second"))
    ]
    assert context.plans[0]["base_revision"] == context.plans[1]["base_revision"]
    context.outcomes = confirm_both(context)


def confirm_both(context):
    return [
        context.deployment.confirm(plan, index=index)
        for index, plan in enumerate(context.plans)
    ]


@behave.then(
    "one is confirmed, the other is told of the conflict with a plan on the new "
    "revision"
)
def check_race(context):
    confirmed, refused = context.outcomes
    assert confirmed.status == 200, confirmed.body
    assert refused.status == 409, refused.body
    assert refused.document["error"] == "PlanConflictError"
    fresh = refused.document["plan"]
    assert fresh["base_revision"] == confirmed.document["revision"]
    assert fresh["intent"] == context.plans[1]["intent"]


@behave.then("each one's resend gets its own first outcome")
def check_resends(context):
    confirmed, refused = confirm_both(context)
    assert confirmed.document == context.outcomes[0].document
    assert refused.status == 409 and refused.document["error"] == "PlanConflictError"
