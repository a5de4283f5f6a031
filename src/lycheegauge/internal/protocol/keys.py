"""Idempotency keys. Those that the system issues contain their issue time.

The age of a caller's own key is not known, so the claim ledger keeps a small
digest of it after the claim itself is removed. The age of an issued key is read
from the key itself, which needs no memory.
"""

import random

ISSUED_PREFIX = "lg1"
RANDOM_BITS = 64


def issue_key(log_time_s: float, source: random.Random) -> str:
    """Issues a key that contains ``log_time_s``, in log seconds."""
    return f"{ISSUED_PREFIX}.{int(log_time_s)}.{source.getrandbits(RANDOM_BITS):016x}"


def read_issue_time(key: str) -> float | None:
    """Returns an issued key's time in log seconds, ``None`` for a caller's own key.

    The key may be scoped to its organisation.
    """
    parts = key.rpartition("/")[2].split(".")
    if len(parts) != 3 or parts[0] != ISSUED_PREFIX or not parts[1].isascii():
        return None
    return float(parts[1]) if parts[1].isdigit() else None


def scope_key(organisation: str, key: str) -> str:
    """Returns the ledger's key, which differs between organisations."""
    return f"{organisation}/{key}"
