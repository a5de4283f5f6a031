"""Measures the replicated log on real files: throughput, cost and recovery.

All replicas run in one process and pass messages directly, encoded by the codec as
on the wire. The figures therefore include the processor time of all voters, but no
network. Each replica has its own data folder on the same disk.
"""

import argparse
import asyncio
import pathlib
import random
import tempfile
import time

from lycheegauge.internal.daemons import replication
from lycheegauge.internal.protocol import agreement, changes, codec
from lycheegauge.internal.state import journal, machine

SEED = 1
IDLE_S = 10.0


class ListMachine(machine.StateMachine):
    """Appends each change to a list: a state machine of minimal cost."""

    def __init__(self):
        super().__init__()
        self.applied = []

    def apply(self, payload):
        """Appends the change and accepts it."""
        self.applied.append(payload)
        return ACCEPTED

    def take_snapshot(self):
        """Returns the last 1000 changes, so that the size is bounded."""
        return b"".join(self.applied[-1000:])

    def restore(self, serialized):
        """Replaces the state by that of a snapshot."""
        self.applied = [serialized]


ACCEPTED = codec.pack(changes.Acknowledgement(changes.ChangeStatus.ACCEPTED))


class ReplicaGroup:
    """Replication tasks that exchange encoded messages in one process."""

    def __init__(self, root, count, snapshot_every):
        names = [f"host-{number}" for number in range(count)]
        voters = [agreement.Voter(name, f"disk-{name}") for name in names]
        self.root = root
        self.membership = agreement.Membership(tuple(voters))
        self.snapshot_every = snapshot_every
        self.tasks = {}
        self.bytes = 0
        self.messages = 0
        for voter in voters:
            if not (root / voter.host).exists():
                journal.Journal.initialise(root / voter.host, voter)

    async def start(self):
        """Starts one replica for each data folder."""
        for voter in self.membership.voters:
            task = replication.ReplicationTask(
                journal.Journal(self.root / voter.host, voter.host),
                self.membership,
                ListMachine(),
                self.send,
                time.monotonic,
                random.Random(f"{SEED}{voter.host}"),
                snapshot_every=self.snapshot_every,
            )
            self.tasks[voter.host] = task
            await task.start()

    async def close(self):
        """Closes all replicas."""
        for task in self.tasks.values():
            await task.close()

    def send(self, receiver, message):
        """Encodes, counts and delivers a message."""
        packed = codec.pack(message)
        self.bytes += len(packed)
        self.messages += 1
        if receiver.host in self.tasks:
            self.tasks[receiver.host].deliver(codec.unpack(packed))

    async def wait_for_leader(self):
        """Waits until a linearizable read succeeds and returns the leader."""
        while True:
            for task in self.tasks.values():
                if task.is_leader and (await task.read()).value_or(None) is not None:
                    return task
            await asyncio.sleep(0.005)

    def count_disk_bytes(self):
        """Returns the size of all files, in bytes."""
        return sum(item.stat().st_size for item in self.root.rglob("*"))


def make_change(number):
    return changes.SettleClaim(
        f"key-{number:012d}", 1, changes.ClaimStatus.ANSWERED, b"x" * 100, 0.0
    )


async def commit(leader, count, parallel):
    """Commits ``count`` changes, ``parallel`` of them concurrently."""
    numbers = iter(range(count))

    async def work():
        for number in numbers:
            (await leader.propose(make_change(number))).unwrap()

    await asyncio.gather(*(work() for _ in range(parallel)))


async def measure_throughput(voters, parallel, count):
    with tempfile.TemporaryDirectory() as folder:
        group = ReplicaGroup(pathlib.Path(folder), voters, 0)
        await group.start()
        leader = await group.wait_for_leader()
        before = (group.bytes, group.count_disk_bytes(), time.process_time())
        start = time.monotonic()
        await commit(leader, count, parallel)
        seconds = time.monotonic() - start
        wire = (group.bytes - before[0]) / count
        disk = (group.count_disk_bytes() - before[1]) / count / voters
        processor = (time.process_time() - before[2]) / count * 1e6
        await group.close()
    print(
        f"{voters:6} {parallel:8} {count:7} {count / seconds:9.0f} {wire:9.0f} "
        f"{disk:10.0f} {processor:11.0f}"
    )


async def measure_idle(voters):
    with tempfile.TemporaryDirectory() as folder:
        group = ReplicaGroup(pathlib.Path(folder), voters, 0)
        await group.start()
        await group.wait_for_leader()
        before = (group.bytes, group.messages, time.process_time())
        await asyncio.sleep(IDLE_S)
        wire = (group.bytes - before[0]) / IDLE_S
        count = (group.messages - before[1]) / IDLE_S
        processor = (time.process_time() - before[2]) / IDLE_S / voters * 100
        await group.close()
    print(f"{voters:6} {count:10.1f} {wire:9.0f} {processor:14.2f}")


async def measure_recovery(count, snapshot_every):
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        group = ReplicaGroup(root, 3, snapshot_every)
        await group.start()
        await commit(await group.wait_for_leader(), count, 64)
        await asyncio.sleep(1.0)
        await group.close()
        start = time.monotonic()
        stored = journal.Journal(root / "host-0", "host-0").open()
        opened = time.monotonic() - start
        restarted = ReplicaGroup(root, 3, snapshot_every)
        start = time.monotonic()
        await restarted.start()
        started = time.monotonic() - start
        await restarted.wait_for_leader()
        readable = time.monotonic() - start
        await restarted.close()
    print(
        f"{count:7} {snapshot_every:8} {len(stored.entries):8} {opened * 1000:8.1f} "
        f"{started * 1000:10.1f} {readable:10.2f}"
    )


async def measure(arguments):
    print("voters parallel changes changes/s wire B/ch disk B/ch/v cpu us/ch(all)")
    for voters in (3, 5):
        for parallel in (1, 64):
            count = arguments.changes if parallel > 1 else arguments.changes // 10
            await measure_throughput(voters, parallel, count)
    print("voters messages/s  bytes/s cpu % a voter   (idle)")
    for voters in (3, 5):
        await measure_idle(voters)
    print("changes snapshot replayed open ms 3 start ms proven read s")
    for count in (500, 5000):
        for snapshot_every in (0, 1000 if count > 1000 else 100):
            await measure_recovery(count, snapshot_every)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=4000)
    asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    main()
