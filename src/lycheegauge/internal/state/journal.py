"""The journal: a replica's log, snapshot and identity in one data folder.

The folder holds three files: ``identity``, ``snapshot`` and ``log``. The first two
are replaced atomically. The log grows by one record per write and is rewritten when
a snapshot covers its older entries. A segmented log was considered and rejected:
with a snapshot every few thousand entries the rewritten remainder is small, and a
single file leaves fewer possible states after a crash.
"""

import pathlib
import typing
import uuid

from lycheegauge import errors
from lycheegauge.internal.protocol import agreement, codec
from lycheegauge.internal.protocol import journal as stored
from lycheegauge.internal.state import files as disk
from lycheegauge.internal.state import records

IDENTITY_FILE = "identity"
SNAPSHOT_FILE = "snapshot"
LOG_FILE = "log"


class Journal:
    """Reads and writes the files of one data folder.

    Not thread-safe; its single owner serializes calls.

    Args:
        folder: The data folder.
        host: The host name for the new identity of an empty folder.
        files: The file operations; tests substitute a failing disk.
        first_disk_id: The disk id for the new identity of an empty folder; if this
            is empty, a random one is generated.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        host: str,
        files: disk.FileOperations | None = None,
        first_disk_id: str = "",
    ) -> None:
        self._folder = folder
        self._host = host
        self._first_disk_id = first_disk_id
        self._files = files or disk.FileOperations()
        self._log: typing.BinaryIO | None = None
        self._entries: list[agreement.LogEntry] = []
        self._hard_state = agreement.HardState()
        self._snapshot: agreement.Snapshot | None = None
        self._record_count = 0
        self._has_failed = False

    @classmethod
    def initialise(
        cls,
        folder: pathlib.Path,
        identity: agreement.Voter,
        files: disk.FileOperations | None = None,
    ) -> None:
        """Writes the identity of a new data folder, which must be empty.

        Raises:
            errors.StorageFailedError: The folder is not empty or cannot be
                written.
        """
        try:
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / IDENTITY_FILE
            if any(folder.iterdir()):
                raise errors.StorageFailedError(
                    f"{folder} is not empty; choose an empty folder", "initialise"
                )
            body = records.build_record(0, codec.pack(identity))
            (files or disk.FileOperations()).replace(path, body)
        except OSError as error:
            raise _describe_failure(folder, "initialise", error) from error

    def open(self) -> agreement.StoredState:
        """Reads the stored state; an empty folder gets a new identity.

        Raises:
            errors.JournalDamagedError: A file is damaged before its tail.
            errors.StorageFailedError: The folder cannot be read or written.
        """
        try:
            identity = self._read_identity()
            self._snapshot = self._read_record_file(SNAPSHOT_FILE)
            self._read_log()
            self._check_continuity()
            self._log = self._files.open_append(self._folder / LOG_FILE)
            self._files.sync_folder(self._folder)
        except OSError as error:
            raise _describe_failure(self._folder, "open journal", error) from error
        self._drop_covered_entries()
        return agreement.StoredState(
            identity, self._hard_state, self._snapshot, tuple(self._entries)
        )

    def persist(self, persist: agreement.Persist) -> None:
        """Writes and syncs the data; after a failure, all later calls fail.

        After a failed sync the operating system may have dropped the dirty pages,
        so that a later sync would succeed although they are not on disk.

        Raises:
            errors.StorageFailedError: The disk is full or failing.
        """
        if self._has_failed or self._log is None:
            raise errors.StorageFailedError(
                f"the journal in {self._folder} has failed or is closed; restart "
                "the process after its disk works again",
                "persist",
            )
        try:
            self._update_copy(persist)
            if persist.snapshot is not None:
                self._replace_snapshot_and_log(persist.snapshot)
            else:
                self._append_record(persist)
        except OSError as error:
            self._has_failed = True
            raise _describe_failure(self._folder, "persist", error) from error

    def close(self) -> None:
        """Closes the log file."""
        if self._log is not None:
            self._log.close()
            self._log = None

    def _update_copy(self, persist: agreement.Persist | stored.JournalRecord) -> None:
        """Updates the in-memory copy of the log file, used to rewrite the file."""
        if persist.hard_state is not None:
            self._hard_state = persist.hard_state
        if persist.truncate_from:
            kept = [
                entry for entry in self._entries if entry.index < persist.truncate_from
            ]
            self._entries = kept
        self._entries.extend(persist.entries)

    def _append_record(self, persist: agreement.Persist) -> None:
        assert self._log is not None
        content = stored.JournalRecord(
            persist.hard_state, persist.truncate_from, persist.entries
        )
        record = records.build_record(self._record_count, codec.pack(content))
        self._files.write(self._log, record)
        self._files.sync(self._log)
        self._record_count += 1

    def _replace_snapshot_and_log(self, snapshot: agreement.Snapshot) -> None:
        """Replaces the snapshot and then the log, each atomically.

        The snapshot is replaced first: a crash between the two leaves entries that
        the snapshot covers, and ``open`` drops these.
        """
        assert self._log is not None
        body = records.build_record(0, codec.pack(snapshot))
        self._files.replace(self._folder / SNAPSHOT_FILE, body)
        self._snapshot = snapshot
        self._drop_covered_entries()
        rest = stored.JournalRecord(self._hard_state, 0, tuple(self._entries))
        self._log.close()
        path = self._folder / LOG_FILE
        self._files.replace(path, records.build_record(0, codec.pack(rest)))
        self._log = self._files.open_append(path)
        self._record_count = 1

    def _drop_covered_entries(self) -> None:
        """Drops entries that the snapshot covers or that conflict with it."""
        if self._snapshot is None or not self._entries:
            return
        index = self._snapshot.last_index
        rest = [entry for entry in self._entries if entry.index > index]
        at_end = [entry for entry in self._entries if entry.index == index]
        matches = at_end[0].term == self._snapshot.last_term if at_end else True
        follows = not rest or rest[0].index == index + 1
        self._entries = rest if matches and follows else []

    def _read_identity(self) -> agreement.Voter:
        found = self._read_record_file(IDENTITY_FILE)
        if found is not None:
            return typing.cast(agreement.Voter, found)
        self._folder.mkdir(parents=True, exist_ok=True)
        if (self._folder / LOG_FILE).exists():
            raise errors.JournalDamagedError(
                f"{self._folder} has a log but no identity; replace this voter "
                "and start the host with an empty data folder",
                "open journal",
            )
        disk_id = self._first_disk_id or uuid.uuid4().hex
        identity = agreement.Voter(self._host, disk_id)
        self._files.replace(
            self._folder / IDENTITY_FILE, records.build_record(0, codec.pack(identity))
        )
        return identity

    def _read_record_file(self, name: str) -> typing.Any:
        """Reads a file with a single record; ``None`` if there is no such file."""
        path = self._folder / name
        if not path.exists():
            return None
        scan = records.scan_records(path.read_bytes(), str(path))
        if len(scan.bodies) != 1:
            raise errors.JournalDamagedError(
                f"{path} is damaged at offset {scan.size}; replace this voter and "
                "start the host with an empty data folder",
                "open journal",
            )
        return codec.unpack(scan.bodies[0])

    def _read_log(self) -> None:
        path = self._folder / LOG_FILE
        content = path.read_bytes() if path.exists() else b""
        scan = records.scan_records(content, str(path))
        if scan.size < len(content):
            self._files.truncate(path, scan.size)
        for body in scan.bodies:
            self._update_copy(codec.unpack(body))
        self._record_count = len(scan.bodies)

    def _check_continuity(self) -> None:
        """Checks that the log continues the snapshot, so that neither was lost.

        A snapshot is only written together with a log of at least one record.
        """
        covered = self._snapshot.last_index if self._snapshot is not None else 0
        first = self._entries[0].index if self._entries else covered + 1
        problem = ""
        if self._snapshot is not None and not self._record_count:
            problem = "has no record although there is a snapshot"
        elif first > covered + 1:
            problem = f"starts at entry {first}, but the snapshot ends at {covered}"
        if problem:
            raise errors.JournalDamagedError(
                f"{self._folder / LOG_FILE} {problem}; replace this voter and start "
                "the host with an empty data folder",
                "open journal",
            )


def _describe_failure(
    folder: pathlib.Path, step: str, error: OSError
) -> errors.StorageFailedError:
    return errors.StorageFailedError(
        f"cannot write {folder}: {error}; free space or replace the disk, "
        "then restart this process",
        step,
    )
