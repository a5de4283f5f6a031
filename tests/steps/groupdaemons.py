import collections
import json

import behave
from support import processes

RANKS = 4
STEPS_AHEAD = 20


def make_intent(replica_slots):
    group = {
        "name": "danish", "service": "drafting", "ranks": RANKS, "layers": 2,
        "experts": 8, "replica_slots": replica_slots,
    }  # fmt: skip
    return {
        "services": [{"name": "drafting", "kind": "model"}],
        "model_groups": [group],
    }


def list_steps(deployment, rank):
    """Lists the steps in a rank's log, without the last line, which may be partial."""
    lines = deployment.read_log(f"fake-rank-{rank}").split("\n")[:-1]
    documents = [json.loads(line) for line in lines]
    return [item for item in documents if item.get("step") == "run step"]


def wait_for_steps(context, key, above):
    """Waits until each rank has run enough steps whose ``key`` is above a value."""

    def check():
        return all(
            sum(item[key] > above for item in list_steps(context.deployment, rank))
            > STEPS_AHEAD
            for rank in range(RANKS)
        )

    processes.wait_until(check, f"all ranks run steps with {key} above {above}")


def find_newest(context, key):
    return max(
        list_steps(context.deployment, rank)[-1][key] for rank in range(RANKS)
    )  # fmt: skip


@behave.given("three entry hosts and four ranks of one expert group that run steps")
def start_group(context):
    context.deployment = deployment = processes.Deployment()
    context.closers.append(deployment.close)
    for index in range(3):
        deployment.start_entry(index)
    for rank in range(RANKS):
        deployment.start_backend_server(
            f"rank-{rank}", processes.ZONES[rank % 3], "drafting", "completions",
            "--group", "danish", "--rank", rank,
        )  # fmt: skip
    deployment.wait_for_members(3, RANKS)
    deployment.put_in_force(make_intent(2))
    wait_for_steps(context, "number", -1)


@behave.when("the host that coordinates the expert group is killed")
def kill_coordinator(context):
    deployment = context.deployment
    context.epoch = find_newest(context, "epoch")
    leader = deployment.peers.index(deployment.read_status()["leader"])
    coordinated = f'"epoch": {context.epoch}, '
    assert coordinated in deployment.read_log(f"entry-{leader + 1}")
    killed = deployment.processes[f"entry-{leader + 1}"]
    killed.kill()
    killed.wait()
    context.remaining_host = (leader + 1) % 3


@behave.then("the ranks continue to run steps under a higher epoch")
def check_epoch(context):
    wait_for_steps(context, "epoch", context.epoch)


@behave.when("an intent gives the expert group more replica slots")
def change_slots(context):
    context.version = find_newest(context, "map_version")
    planned = context.deployment.plan(make_intent(4), context.remaining_host)
    assert planned.status == 200, planned.body
    confirmed = context.deployment.confirm(
        planned.document, index=context.remaining_host
    )
    assert confirmed.status == 200, confirmed.body


@behave.then("the ranks continue to run steps with a higher map version")
def check_version(context):
    wait_for_steps(context, "map_version", context.version)


@behave.then(
    "each step has the same map version on all ranks and no rank ran a step twice"
)
def check_agreement(context):
    versions = collections.defaultdict(set)
    first_steps = set()
    for rank in range(RANKS):
        rank_steps = list_steps(context.deployment, rank)
        numbers = [item["number"] for item in rank_steps]
        assert numbers == list(range(numbers[0], numbers[0] + len(rank_steps))), rank
        first_steps.add(numbers[0])
        for item in rank_steps:
            versions[item["number"]].add(item["map_version"])
    mixed = {step: seen for step, seen in versions.items() if len(seen) > 1}
    assert not mixed, mixed
    assert len(first_steps) == 1, first_steps
    assert set.union(*versions.values()) == {1, 2}, versions
