"""Messages with which entry hosts lease shares of organisations' limits.

A request contains only the organisations whose demand changed or whose lease is
due for renewal, so organisations without traffic cost nothing.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LimitDemand:
    """A holder's demand for one organisation's limits, and its current grant.

    ``rate`` is in requests per second, ``concurrency`` in requests. ``running``
    is the number of requests running now. ``held_sequence`` is the request whose
    grant is in use, 0 for none; the holder will not use an older grant.
    ``held_rate`` and ``held_concurrency`` let a new granter renew that grant.
    """

    organisation: str
    rate: float
    concurrency: int
    running: int
    held_sequence: int
    held_rate: float = 0.0
    held_concurrency: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ShareRequest:
    """A holder's demands; ``sequence`` increases with each request it sends.

    ``holder`` identifies the entry host and its incarnation, and ``known_granter`` the
    start of the granter that last answered it from this home.
    """

    holder: str
    sequence: int
    demands: tuple[LimitDemand, ...]
    known_granter: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitShare:
    """One organisation's share of its limits."""

    organisation: str
    rate: float
    concurrency: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShareGrant:
    """The reply to a ``ShareRequest``, whose sequence identifies the grant.

    The lease of ``lease_s`` seconds starts when the request with
    ``request_sequence`` was sent, so a late reply only shortens it. ``granter_start``
    changes whenever the granter starts.
    """

    granter: str
    holder: str
    request_sequence: int
    lease_s: float
    shares: tuple[LimitShare, ...]
    granter_start: str = ""
