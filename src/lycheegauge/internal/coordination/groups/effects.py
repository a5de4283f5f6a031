"""Effects that a coordinator requests of its task; they are not wire messages."""

import dataclasses

from lycheegauge.internal.protocol import changes, expertmaps


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Send the question to the rank's agent; the message may be lost."""

    rank: int
    question: expertmaps.RankQuestion


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Send the offer to the rank's agent; the message may be lost."""

    rank: int
    offer: expertmaps.PermitOffer


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Send the request to the rank's agent; the message may be lost."""

    rank: int
    prepare: expertmaps.PrepareMap


@dataclasses.dataclass(frozen=True, slots=True)
class Deposed:
    """Discard this coordinator: another one holds a higher epoch."""

    epoch: int


Effect = Ask | Offer | Prepare | Deposed | changes.TakeEpoch | changes.CommitMap
