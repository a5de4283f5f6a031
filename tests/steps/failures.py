import concurrent.futures
import json
import signal
import time

import behave
from support import processes

INTENT = {
    "services": [
        {"name": "drafting", "kind": "model"},
        {"name": "booking", "kind": "plain"},
    ]
}
STREAM = {"Accept": "text/event-stream"}
TOKENS = 40


@behave.given("three entry hosts, four model agents and one booking agent under load")
def start_deployment(context):
    context.deployment = deployment = processes.Deployment()
    context.closers.append(deployment.close)
    for index in range(3):
        deployment.start_entry(index)
    for number in range(4):
        deployment.start_backend_server(
            f"draft-{number}", processes.ZONES[number % 3], "drafting", "completions",
            "--tokens", TOKENS, "--token-interval-s", 0.02,
        )  # fmt: skip
    deployment.start_backend_server("book-0", "zone-c", "booking", "plain")
    deployment.wait_for_members(3, 5)
    deployment.put_in_force(INTENT)
    context.pool = concurrent.futures.ThreadPoolExecutor(16)
    context.closers.append(context.pool.shutdown)


def stream(deployment, index, name):
    body = json.dumps({"prompt": f"{name} b c"}).encode()
    path = "/v1/services/drafting"
    headers = {**STREAM, "Lycheegauge-Request-Id": name}
    return processes.call(deployment.callers[index], path, body, headers)


def send_streams(context, count, index=None):
    return [
        context.pool.submit(
            stream,
            context.deployment,
            number % 3 if index is None else index,
            f"r{number}",
        )
        for number in range(count)
    ]


def check_complete(answers):
    for answer in answers:
        assert answer.status == 200, answer.body
        *events, (last, end) = answer.events()
        assert last == "end" and end["tokens"] == TOKENS, (last, end)
        firsts = [event["first"] for _, event in events]
        tokens = [token for _, event in events for token in event["tokens"]]
        assert firsts == sorted(set(firsts)) and len(tokens) == TOKENS
        assert [int(token.rpartition("-")[2]) for token in tokens] == list(
            range(TOKENS)
        )


def wait_for_streams(deployment, name, step="send"):
    processes.wait_until(
        lambda: deployment.read_log(name).count(f'"step": "{step}"') >= 3,
        f"{name} has streams",
    )


@behave.when("an entry host is told to stop while streams run through it")
def stop_entry(context):
    context.running = send_streams(context, 6, index=1)
    wait_for_streams(context.deployment, "entry-2")
    context.deployment.processes["entry-2"].send_signal(signal.SIGTERM)
    # Callers may still hold a discovery answer that names this host.
    time.sleep(context.deployment.answer_valid_s / 2)
    context.running += send_streams(context, 2, index=1)


@behave.then(
    "it leaves discovery, every request through it is answered completely and it "
    "exits with 0"
)
def check_stopped_entry(context):
    deployment = context.deployment

    def has_left():
        entries = processes.call(deployment.callers[0], "/v1/entries").document
        return "entry-2" not in [entry["host"] for entry in entries["entries"]]

    processes.wait_until(has_left, "entry-2 left discovery")
    check_complete([future.result() for future in context.running])
    assert deployment.processes["entry-2"].wait(60) == 0


@behave.when("an agent is told to stop while it streams")
def stop_agent(context):
    context.running = send_streams(context, 8)
    time.sleep(0.3)
    context.deployment.processes["draft-0"].send_signal(signal.SIGTERM)
    context.running += send_streams(context, 8)


@behave.then("every request is answered completely and the agent exits with 0")
def check_stopped_agent(context):
    check_complete([future.result() for future in context.running])
    assert context.deployment.processes["draft-0"].wait(60) == 0


def book(deployment, index, key):
    headers = {"Idempotency-Key": key, "Lycheegauge-Deadline-Ms": "20000"}
    path = "/v1/services/booking"
    body = json.dumps({"slot": key}).encode()
    return processes.call(deployment.callers[index], path, body, headers)


def book_until_answered(deployment, key, survivors):
    answers = []
    for attempt in range(40):
        try:
            answer = book(deployment, survivors[attempt % len(survivors)], key)
        except OSError:
            continue
        if answer.status == 200:
            answers.append(answer.body)
        if len(answers) == 2:
            return answers
        time.sleep(0.1)
    raise AssertionError(f"{key} was not answered twice, last: {answer.body}")


@behave.when(
    "the log's leader is killed while bookings with idempotency keys are sent and "
    "resent"
)
def kill_leader(context):
    deployment = context.deployment
    leader = deployment.peers.index(deployment.read_status()["leader"])
    survivors = [index for index in range(3) if index != leader]
    futures = [
        context.pool.submit(book_until_answered, deployment, f"slot-{n}", survivors)
        for n in range(12)
    ]
    time.sleep(0.05)
    deployment.processes[f"entry-{leader + 1}"].kill()
    context.bookings = [future.result() for future in futures]


@behave.then("each key is run once and all answers for it are the same")
def check_bookings(context):
    runs = [json.loads(answers[0])["run"] for answers in context.bookings]
    assert all(first == second for first, second in context.bookings)
    assert sorted(runs) == list(range(1, 13)), runs


@behave.when("an entry host is suspended, a zone is taken out and the host resumes")
def suspend_entry(context):
    deployment = context.deployment
    leader = deployment.peers.index(deployment.read_status()["leader"])
    context.suspended = suspended = (leader + 1) % 3
    process = deployment.processes[f"entry-{suspended + 1}"]
    process.send_signal(signal.SIGSTOP)
    # These requests wait in its sockets while it is suspended.
    context.running = send_streams(context, 6, index=suspended)
    other = (leader + 2) % 3
    planned = deployment.plan({**INTENT, "availability_zones_out": ["zone-a"]}, other)
    assert planned.status == 200, planned.body
    assert deployment.confirm(planned.document, index=other).status == 200
    time.sleep(3.0)
    context.sent_before = count_sent(deployment, suspended)
    process.send_signal(signal.SIGCONT)


def count_sent(deployment, index):
    lines = deployment.read_log(f"entry-{index + 1}").splitlines()
    steps = [json.loads(line) for line in lines]
    return sum(
        step.get("step") == "send" and step["peer"] in ("draft-0", "draft-3")
        for step in steps
    )


def count_runs(deployment, names):
    steps = [
        json.loads(line)
        for name in names
        for line in deployment.read_log(name).splitlines()
    ]
    return sum(step.get("step") == "start run" for step in steps)


@behave.then("no request it receives from then on runs in that zone")
def check_suspended(context):
    answers = [future.result() for future in context.running]
    deployment = context.deployment
    assert count_runs(deployment, ["draft-0", "draft-3"]) == 0
    refused = [answer for answer in answers if answer.status != 200]
    for answer in refused:
        assert answer.document["run_state"] == "not_run", answer.body
    check_complete([answer for answer in answers if answer.status == 200])


@behave.when("an agent is killed in the middle of streams")
def kill_agent(context):
    deployment = context.deployment
    context.running = send_streams(context, 12)
    time.sleep(0.4)
    assert count_runs(deployment, ["draft-1"]) > 0
    deployment.processes["draft-1"].kill()


@behave.then("every stream is complete, in order and without repetition")
def check_streams(context):
    check_complete([future.result() for future in context.running])


@behave.when(
    "twenty changes are confirmed and all entry hosts are killed and restarted"
)
def restart_all(context):
    deployment = context.deployment
    for number in range(20):
        organisations = [{"name": f"organisation-{number}", "weight": 2}]
        planned = deployment.plan({**INTENT, "organisations": organisations})
        confirmed = deployment.confirm(planned.document)
        assert confirmed.status == 200, confirmed.body
        context.revision = confirmed.document["revision"]
    for index in range(3):
        deployment.processes[f"entry-{index + 1}"].kill()
    for index in range(3):
        deployment.start_entry(index)


@behave.then("every entry host serves the last revision and no change is lost")
def check_revisions(context):
    deployment = context.deployment

    def read_revisions():
        status = deployment.read_status()
        hosts = {host["name"]: host["revision"] for host in status["entry_hosts"]}
        return len(hosts) == 3 and set(hosts.values()) == {context.revision}

    processes.wait_until(read_revisions, f"revision {context.revision} everywhere")


@behave.when(
    "an organisation limited to 5 requests a second sends 60 through all entry hosts "
    "at once"
)
def send_limited(context):
    deployment = context.deployment
    limited = {"name": "limited", "rate_limit": 5}
    deployment.put_in_force({**INTENT, "organisations": [limited]})
    headers = {"Lycheegauge-Organisation": "limited", "Lycheegauge-Repeatable": "true"}
    futures = [
        context.pool.submit(
            processes.call,
            deployment.callers[number % 3],
            "/v1/services/booking",
            b"{}",
            headers,
        )
        for number in range(60)
    ]
    context.answers = [future.result() for future in futures]


@behave.then(
    "only a part of them is answered, and each refusal says not run and when to retry"
)
def check_limited(context):
    answered = [answer for answer in context.answers if answer.status == 200]
    refused = [answer for answer in context.answers if answer.status != 200]
    assert answered and len(answered) <= 30, len(answered)
    for answer in refused:
        assert answer.status == 429, answer.body
        assert answer.document["run_state"] == "not_run"
        assert answer.document["retry_after_s"] > 0


@behave.when("a crashing prompt is sent again and again through all entry hosts")
def send_crashing(context):
    deployment = context.deployment
    context.answers = [
        stream(deployment, number % 3, "crash-the-server") for number in range(6)
    ]


@behave.then(
    "at most two servers have crashed and the prompt is refused as quarantined"
)
def check_quarantined(context):
    logs = "".join(
        context.deployment.read_log(f"fake-draft-{number}") for number in range(4)
    )
    crashes = logs.count("crashed")
    assert 1 <= crashes <= 2, crashes
    last = context.answers[-1]
    assert last.status == 422, last.body
    assert last.document["reason"] == "quarantined"


@behave.then("other prompts are answered")
def check_others(context):
    check_complete([stream(context.deployment, index, "fine") for index in range(3)])
