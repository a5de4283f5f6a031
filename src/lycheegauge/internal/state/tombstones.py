"""Digests of idempotency keys whose claims have expired, in bounded memory.

When a caller resends a key of its own after the claim has expired, the key must not
be granted as a new one. Eight bytes per key are kept in sorted generations; when
there are too many generations, the oldest one is dropped. A Bloom filter was
considered and rejected: it is smaller, but once it fills up it refuses unused keys
permanently, and it cannot drop its oldest keys.
"""

import array
import bisect
import collections.abc
import typing

import xxhash

GENERATION_KEYS = 65_536
MAX_GENERATIONS = 8
MERGE_KEYS = 1_024


class Tombstones:
    """A set of 64-bit digests that drops its oldest generation when full.

    Args:
        generation_keys: The number of keys after which a generation is full.
        max_generations: The maximum number of generations.
    """

    def __init__(
        self,
        generation_keys: int = GENERATION_KEYS,
        max_generations: int = MAX_GENERATIONS,
    ) -> None:
        self._generation_keys = generation_keys
        self._max_generations = max_generations
        self._generations: list[array.array[int]] = [array.array("Q")]
        self._recent: set[int] = set()

    def add(self, key: str) -> None:
        """Adds a key."""
        self._recent.add(compute_digest(key))
        if len(self._recent) >= min(MERGE_KEYS, self._generation_keys):
            self._merge()

    def __contains__(self, key: str) -> bool:
        """Tells whether a key is in the set."""
        digest = compute_digest(key)
        if digest in self._recent:
            return True
        return any(_contains(generation, digest) for generation in self._generations)

    def dump(self) -> tuple[bytes, ...]:
        """Returns the generations, oldest first, as packed digests."""
        self._merge()
        return tuple(generation.tobytes() for generation in self._generations)

    def load(self, generations: collections.abc.Iterable[bytes]) -> None:
        """Replaces the set with one that ``dump`` returned."""
        self._recent = set()
        self._generations = [array.array("Q", packed) for packed in generations]

    def _merge(self) -> None:
        # The list consists of two sorted runs, which ``sort`` merges in linear time.
        merged = [*self._generations[-1], *sorted(self._recent)]
        merged.sort()
        self._generations[-1] = array.array("Q", merged)
        self._recent = set()
        if len(self._generations[-1]) >= self._generation_keys:
            self._generations.append(array.array("Q"))
        while len(self._generations) > self._max_generations:
            del self._generations[0]


def compute_digest(key: str) -> int:
    """Computes the 64-bit digest that is stored for a key."""
    return xxhash.xxh3_64_intdigest(key.encode())


def _contains(generation: typing.Sequence[int], digest: int) -> bool:
    position = bisect.bisect_left(generation, digest)
    return position < len(generation) and generation[position] == digest
