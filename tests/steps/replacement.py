import behave
from support import processes

INTENT = {"services": [{"name": "drafting", "kind": "model"}]}


@behave.given("three voters and a standby entry host with an empty disk")
def start_standby(context):
    context.deployment = deployment = processes.Deployment(entry_hosts=4)
    context.closers.append(deployment.close)
    for index in range(4):
        deployment.start_entry(index)
    processes.wait_until(
        lambda: len(deployment.read_status()["entry_hosts"]) == 4, "four entry hosts"
    )
    deployment.put_in_force(INTENT)


@behave.when(
    "an operator replaces a voter that is not the leader with the standby host"
)
def replace_voter(context):
    deployment = context.deployment
    leader = deployment.peers.index(deployment.read_status()["leader"])
    context.replaced = next(index for index in range(3) if index != leader)

    def replace():
        done = deployment.run_command(
            "replace-voter", deployment.peers[context.replaced], deployment.peers[3],
            "--host", deployment.operators[leader],
        )  # fmt: skip
        context.output = done.stdout + done.stderr
        return done.returncode == 0

    processes.wait_until(replace, "the voter is replaced")


def read_voters(deployment):
    for index in range(4):
        try:
            return set(deployment.read_status(index)["voters"])
        except (OSError, KeyError):
            continue
    return set()


@behave.then(
    "the status lists the new voters and a plan is confirmed after the loss of the "
    "old one"
)
def check_voters(context):
    deployment = context.deployment
    context.voters = [index for index in range(4) if index != context.replaced]
    expected = {deployment.peers[index] for index in context.voters}
    assert read_voters(deployment) == expected, context.output
    deployment.processes[f"entry-{context.replaced + 1}"].kill()
    confirm(deployment, context.voters, weight=2)


def confirm(deployment, alive, weight):
    intent = {**INTENT, "organisations": [{"name": "counter", "weight": weight}]}

    def try_confirm():
        for index in alive:
            planned = deployment.plan(intent, index)
            if planned.status != 200:
                continue
            return deployment.confirm(planned.document, index=index).status == 200
        return False

    processes.wait_until(try_confirm, f"weight {weight} is confirmed")


@behave.then("a plan is still confirmed after the loss of one more voter")
def check_second_loss(context):
    deployment = context.deployment
    lost = context.voters[0]
    deployment.processes[f"entry-{lost + 1}"].kill()
    confirm(deployment, [index for index in context.voters if index != lost], weight=3)
