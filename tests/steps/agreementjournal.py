import errno
import pathlib
import shutil
import tempfile

import behave
from returns import result
from support import agreementtasks, virtualtime
from support.agreementtasks import wait_until

from lycheegauge import errors
from lycheegauge.internal.protocol import agreement
from lycheegauge.internal.state import files, journal

VOTER = agreement.Voter("host-0", "disk-0")
SECTOR = 512


class CrashError(Exception):
    """Simulates a crash of the process at a file operation."""


class CrashingFiles(files.FileOperations):
    """Simulates a crash at the file operation number ``at``."""

    def __init__(self, at):
        self.remaining = at

    def count_operation(self):
        self.remaining -= 1
        if self.remaining < 0:
            raise CrashError

    def write(self, file, body):
        self.count_operation()
        super().write(file, body[: len(body) // 2])
        self.count_operation()
        super().write(file, body[len(body) // 2 :])

    def sync(self, file):
        self.count_operation()
        super().sync(file)

    def sync_folder(self, folder):
        self.count_operation()
        super().sync_folder(folder)


class FailingFiles(files.FileOperations):
    """Fails every write (a full disk) or sync once ``fault`` is set."""

    fault = ""

    def write(self, file, body):
        if self.fault == "full":
            raise OSError(errno.ENOSPC, "no space left on device")
        super().write(file, body)

    def sync(self, file):
        if self.fault == "failing":
            raise OSError(errno.EIO, "input/output error")
        super().sync(file)


def make_entry(index, size=2000):
    kind = agreement.EntryKind.CHANGE
    return agreement.LogEntry(index, 1, kind, bytes([index]) * size)


def open_journal(folder, use=None):
    opened = journal.Journal(folder, "host-0", use)
    return opened, opened.open()


def copy_folder(context):
    folder = pathlib.Path(tempfile.mkdtemp(dir=context.folder.parent))
    shutil.copytree(context.folder, folder, dirs_exist_ok=True)
    return folder


@behave.given("a log journal of {count:d} records")
def given_journal(context, count):
    root = pathlib.Path(tempfile.mkdtemp(prefix="agreement-"))
    context.closers.append(lambda: shutil.rmtree(root))
    context.folder = root / "data"
    journal.Journal.initialise(context.folder, VOTER)
    opened, _ = open_journal(context.folder)
    context.ends = [0]
    for index in range(1, count + 1):
        hard_state = agreement.HardState(1, VOTER)
        opened.persist(agreement.Persist(hard_state, 0, (make_entry(index),)))
        context.ends.append((context.folder / "log").stat().st_size)
    opened.close()


def read_indexes(folder):
    opened, stored = open_journal(folder)
    opened.close()
    assert stored.hard_state == agreement.HardState(1, VOTER)
    return [entry.index for entry in stored.entries]


@behave.then("truncating the log anywhere in its last record loses only that record")
def check_cuts(context):
    log = context.folder / "log"
    whole = log.read_bytes()
    start, end = context.ends[-2:]
    for size in [*range(start, start + 32), *range(start + 32, end, 97), end - 1]:
        log.write_bytes(whole[:size])
        assert read_indexes(context.folder) == [1, 2, 3, 4], size
        assert log.stat().st_size == context.ends[-2]
    log.write_bytes(whole)
    assert read_indexes(context.folder) == [1, 2, 3, 4, 5]


@behave.then("a last record with unwritten sectors is the only record lost")
def check_holes(context):
    log = context.folder / "log"
    whole = bytearray(log.read_bytes())
    first = -(-context.ends[-2] // SECTOR) * SECTOR
    whole[first : first + SECTOR] = bytes(SECTOR)
    log.write_bytes(whole)
    assert read_indexes(context.folder) == [1, 2, 3, 4]


@behave.then("a change of any byte is reported with the file and the record's offset")
def check_damage(context):
    log = context.folder / "log"
    whole = log.read_bytes()
    for position in [*range(32), *range(32, len(whole), 61)]:
        log.write_bytes(
            whole[:position] + bytes([whole[position] ^ 0x40]) + whole[position + 1 :]
        )
        offset = max(end for end in context.ends if end <= position)
        try:
            read_indexes(context.folder)
        except errors.JournalDamagedError as error:
            assert f"{log} is damaged at offset {offset} " in error.message
        else:
            raise AssertionError(f"a changed byte at {position} was not detected")


@behave.then("a crash at any file operation of a snapshot keeps the newest entry")
def check_snapshot_crashes(context):
    membership = agreement.Membership((VOTER,))
    snapshot = agreement.Snapshot(4, 1, membership, b"state")
    persist = agreement.Persist(None, 0, (make_entry(6),), snapshot)
    found_states = []
    is_whole = False
    for at in range(1, 40):
        folder = copy_folder(context)
        try:
            opened, _ = open_journal(folder, CrashingFiles(at))
            opened.persist(persist)
            is_whole = True
        except CrashError:
            pass
        found, stored = open_journal(folder)
        found.close()
        covered = stored.snapshot.last_index if stored.snapshot else 0
        indexes = [entry.index for entry in stored.entries]
        assert indexes == list(range(covered + 1, indexes[-1] + 1)), indexes
        found_states.append((covered, indexes[-1]))
        if is_whole:
            break
    assert found_states == sorted(found_states), found_states
    assert set(found_states) == {(0, 5), (4, 5), (4, 6)}, found_states


@behave.given("a snapshot that covers its first {count:d} entries")
def write_snapshot(context, count):
    membership = agreement.Membership((VOTER,))
    opened, _ = open_journal(context.folder)
    snapshot = agreement.Snapshot(count, 1, membership, b"state")
    opened.persist(agreement.Persist(None, 0, (), snapshot))
    opened.close()


@behave.then("the journal opens with the snapshot and entry {index:d}")
def check_snapshot(context, index):
    opened, stored = open_journal(copy_folder(context))
    opened.close()
    assert stored.snapshot.last_index == index - 1
    assert [entry.index for entry in stored.entries] == [index]
    assert stored.hard_state == agreement.HardState(1, VOTER)


@behave.then(
    "it is damaged without its log, with an empty log and without its snapshot"
)
def check_missing_files(context):
    def truncate(path):
        path.write_bytes(b"")

    losses = {
        "log": (pathlib.Path.unlink, truncate),
        "snapshot": (pathlib.Path.unlink,),
    }
    for name, lose in ((n, lose) for n, ways in losses.items() for lose in ways):
        folder = copy_folder(context)
        lose(folder / name)
        try:
            opened, stored = open_journal(folder)
        except errors.JournalDamagedError as error:
            assert str(folder / "log") in error.message, error.message
            continue
        opened.close()
        raise AssertionError(f"opened without its whole {name}: {stored}")


@behave.then(
    "its identity cannot be written again, and a wiped folder gets another one"
)
def check_identity(context):
    try:
        journal.Journal.initialise(context.folder, VOTER)
        raise AssertionError("the identity was written twice")
    except errors.StorageFailedError:
        pass
    shutil.rmtree(context.folder)
    opened, stored = open_journal(context.folder)
    opened.close()
    again, same = open_journal(context.folder)
    again.close()
    assert stored.identity.host == VOTER.host
    assert stored.identity == same.identity != VOTER


@behave.when("the log leader's disk is {fault}")
def when_disk_fails(context, fault):
    context.fault = fault


@behave.then("the leader reports a storage failure and the others commit")
def check_failing_disk(context):
    async def main(clock):
        disks = {f"host-{n}": FailingFiles() for n in range(3)}
        hosts = agreementtasks.Hosts(3, clock, files=disks)
        context.closers.append(hosts.remove)
        await hosts.start()
        await hosts.commit(["before"])
        leader = hosts.find_leader()
        disks[leader.identity.host].fault = context.fault
        answer = await leader.propose(agreementtasks.make_change("failed"))
        assert isinstance(answer, result.Failure), answer
        assert isinstance(answer.failure(), errors.StorageFailedError), answer
        assert not leader.is_leader and leader.failure is answer.failure()
        again = await leader.read()
        assert isinstance(again.failure(), errors.StorageFailedError)
        await hosts.commit(["after"])
        others = [task for task in hosts.tasks.values() if task is not leader]
        await wait_until(
            lambda: all(task.machine.applied[-1] == "after" for task in others)
        )
        assert "before" in others[0].machine.applied
        await hosts.stop()

    virtualtime.run(main)
