"""Durable file operations: append, sync and atomic replacement."""

import os
import pathlib
import typing


class FileOperations:
    """File operations of the operating system.

    All disk access of the journal goes through this class, so that tests can
    substitute a full or failing disk.
    """

    def open_append(self, path: pathlib.Path) -> typing.BinaryIO:
        """Opens a file for appending, without buffering."""
        return open(path, "ab", buffering=0)

    def write(self, file: typing.BinaryIO, body: bytes) -> None:
        """Writes ``body`` completely."""
        view = memoryview(body)
        while view:
            view = view[file.write(view) :]

    def sync(self, file: typing.BinaryIO) -> None:
        """Flushes the file's content to the disk."""
        os.fdatasync(file.fileno())

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Flushes the folder's directory entries to the disk."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace(self, path: pathlib.Path, body: bytes) -> None:
        """Atomically replaces the content of a file with ``body``."""
        temporary = path.with_name(path.name + ".tmp")
        temporary.unlink(missing_ok=True)
        with self.open_append(temporary) as file:
            self.write(file, body)
            self.sync(file)
        os.replace(temporary, path)
        self.sync_folder(path.parent)

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Truncates a file to ``size`` bytes and syncs it."""
        with open(path, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())
