"""Checksummed records in a file, and how damaged records are handled.

A record is one synced write. The next record is written only after that sync, so an
unreadable record is a torn tail only if nothing was ever written after it. Anything
else is corruption: truncating the file there would drop synced entries that this
replica has acknowledged.
"""

import collections.abc
import dataclasses
import struct

import xxhash

from lycheegauge import errors

_MAGIC = b"LGR1"
_HEADER = struct.Struct("<4sIQI")  # magic, body size, sequence, header checksum
_CHECKSUM = struct.Struct("<Q")
_PREFIX_SIZE = 16  # bytes of the header covered by the header checksum
_SECTOR_BYTES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One readable record; ``end`` is the offset of the byte after it."""

    body: bytes
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """The bodies of all records, and the file size in bytes without a torn tail."""

    bodies: tuple[bytes, ...]
    size: int


def build_record(sequence: int, body: bytes) -> bytes:
    """Builds a record; ``sequence`` is its position in the file, starting at 0."""
    prefix = struct.pack("<4sIQ", _MAGIC, len(body), sequence)
    header = prefix + struct.pack("<I", xxhash.xxh32_intdigest(prefix))
    return header + body + _CHECKSUM.pack(_digest(sequence, body))


def scan_records(content: bytes, name: str) -> Scan:
    """Reads all records of a file.

    Args:
        content: The whole file.
        name: The file's name for error messages.

    Raises:
        errors.JournalDamagedError: A damaged record is not a torn tail.
    """
    bodies: list[bytes] = []
    offset = 0
    while offset < len(content):
        record = _read_record(content, offset, len(bodies))
        if record is None:
            _require_torn_tail(content, offset, len(bodies), name)
            break
        bodies.append(record.body)
        offset = record.end
    return Scan(tuple(bodies), offset)


def _digest(sequence: int, body: bytes) -> int:
    return xxhash.xxh64_intdigest(body, seed=sequence)


def _read_body_size(content: bytes, offset: int, sequence: int) -> int | None:
    """Returns the body size from the header, or ``None`` if that is damaged."""
    header = content[offset : offset + _HEADER.size]
    if len(header) < _HEADER.size:
        return None
    magic, size, found_sequence, checksum = _HEADER.unpack(header)
    intact = checksum == xxhash.xxh32_intdigest(header[:_PREFIX_SIZE])
    if not intact or magic != _MAGIC or found_sequence != sequence:
        return None
    return int(size)


def _read_record(content: bytes, offset: int, sequence: int) -> Record | None:
    size = _read_body_size(content, offset, sequence)
    if size is None:
        return None
    start = offset + _HEADER.size
    end = start + size + _CHECKSUM.size
    if end > len(content):
        return None
    body = content[start : start + size]
    (checksum,) = _CHECKSUM.unpack(content[start + size : end])
    return Record(body, end) if checksum == _digest(sequence, body) else None


def _require_torn_tail(content: bytes, offset: int, sequence: int, name: str) -> None:
    size = _read_body_size(content, offset, sequence)
    if size is None:
        torn = not _has_later_record(content, offset, sequence)
        torn = torn and not _is_valid_body(content, offset, sequence)
    else:
        end = offset + _HEADER.size + size + _CHECKSUM.size
        is_short = end > len(content)
        torn = is_short or (
            end == len(content) and _has_unwritten_sector(content, offset)
        )
    if not torn:
        raise errors.JournalDamagedError(
            f"{name} is damaged at offset {offset} (record {sequence}), before its "
            "tail; it may lack entries that were acknowledged. Replace this voter "
            "and start the host with an empty data folder",
            "open journal",
        )


def _has_later_record(content: bytes, offset: int, sequence: int) -> bool:
    """Tells whether a readable record with a higher sequence number follows."""
    return any(
        _is_later_record(content, position, sequence)
        for position in _find_magic(content, offset + 1)
    )


def _is_later_record(content: bytes, offset: int, sequence: int) -> bool:
    header = content[offset : offset + _HEADER.size]
    if len(header) < _HEADER.size:
        return False
    found = int(_HEADER.unpack(header)[2])
    return found > sequence and _read_record(content, offset, found) is not None


def _find_magic(content: bytes, start: int) -> collections.abc.Iterator[int]:
    position = content.find(_MAGIC, start)
    while position >= 0:
        yield position
        position = content.find(_MAGIC, position + 1)


def _is_valid_body(content: bytes, offset: int, sequence: int) -> bool:
    """Tells whether a valid body follows, so that only the header is damaged."""
    body = content[offset + _HEADER.size : -_CHECKSUM.size]
    if len(content) - offset < _HEADER.size + _CHECKSUM.size:
        return False
    (checksum,) = _CHECKSUM.unpack(content[-_CHECKSUM.size :])
    return bool(checksum == _digest(sequence, body))


def _has_unwritten_sector(content: bytes, offset: int) -> bool:
    """Tells whether a sector of the last record was never written.

    After a crash, a file may have its new size although some of its sectors were
    not written; these read as zeros.
    """
    first = -(-offset // _SECTOR_BYTES) * _SECTOR_BYTES
    sectors = range(first, len(content), _SECTOR_BYTES)
    return any(
        not any(content[start : start + _SECTOR_BYTES])
        for start in sectors
        if start + _SECTOR_BYTES <= len(content)
    )
