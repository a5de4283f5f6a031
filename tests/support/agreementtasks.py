"""Several ``ReplicationTask`` with real files, connected by a direct ``send``."""

import asyncio
import pathlib
import random
import shutil
import tempfile

from returns import result
from support import virtualtime

from lycheegauge.internal.daemons import replication
from lycheegauge.internal.protocol import agreement, changes, codec
from lycheegauge.internal.state import journal, machine

WAIT_LIMIT_S = 120.0


async def wait_until(condition):
    """Waits in virtual time until a condition is met."""
    for _ in range(int(WAIT_LIMIT_S / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the condition was not met within the virtual time limit")


class RecordingMachine(machine.StateMachine):
    """Records every applied change, in place of the parts of the state."""

    def __init__(self):
        super().__init__()
        self.applied = []

    def apply(self, payload):
        self.applied.append(codec.unpack(payload).fingerprint)
        return codec.pack(changes.Acknowledgement(changes.ChangeStatus.ACCEPTED))

    def take_snapshot(self):
        return ",".join(self.applied).encode()

    def restore(self, serialized):
        self.applied = serialized.decode().split(",") if serialized else []


class Hosts:
    """Hosts with their own disks; messages between running hosts arrive immediately."""

    def __init__(self, count, clock, snapshot_every=100, files=None):
        self.root = pathlib.Path(tempfile.mkdtemp(prefix="agreement-"))
        self.clock = clock
        self.snapshot_every = snapshot_every
        self.files = files or {}
        self.tasks = {}
        names = [f"host-{number}" for number in range(count)]
        self.voters = [agreement.Voter(name, f"disk-{name}") for name in names]
        self.membership = agreement.Membership(tuple(self.voters))
        for voter in self.voters:
            journal.Journal.initialise(self.root / voter.host, voter)

    async def start(self, *names):
        for name in names or [voter.host for voter in self.voters]:
            await self.start_one(name)

    async def start_one(self, name):
        self.tasks[name] = replication.ReplicationTask(
            journal.Journal(self.root / name, name, self.files.get(name)),
            self.membership,
            RecordingMachine(),
            self.send,
            self.clock,
            random.Random(name),
            snapshot_every=self.snapshot_every,
            executor=virtualtime.InlineExecutor(),
        )
        await self.tasks[name].start()

    async def stop(self, *names):
        for name in names or list(self.tasks):
            await self.tasks.pop(name).close()

    def send(self, receiver, message):
        task = self.tasks.get(receiver.host)
        if task is not None:
            task.deliver(message)

    def find_leader(self):
        return next((task for task in self.tasks.values() if task.is_leader), None)

    async def commit(self, texts):
        """Commits each text; retries on the next leader when one fails."""
        for text in texts:
            answer = None
            while not isinstance(answer, result.Success):
                await wait_until(self.find_leader)
                answer = await self.find_leader().propose(make_change(text))

    async def wait_applied(self, texts):
        await wait_until(
            lambda: all(t.machine.applied == texts for t in self.tasks.values())
        )

    def remove(self):
        shutil.rmtree(self.root)


def make_change(text):
    return changes.ClearSuspect(text, 0.0)
