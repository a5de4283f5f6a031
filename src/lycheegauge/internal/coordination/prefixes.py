"""Index of the prompt prefixes that backend servers hold in their caches.

Cache events arrive late and with gaps. A missed event may have been an eviction,
so after a gap no earlier entry is trusted until a later event or a finished request
of this entry host confirms it. An event that arrives after a newer one can only
remove blocks: its evictions may not be known yet, but the blocks that it stored may
have been evicted since.
"""

import collections
import dataclasses
import itertools

from lycheegauge.internal.protocol import work

BLOCKS_PER_SERVER = 2048
BLOCKS_TOTAL = 60_000
# Only this many leading blocks of a prompt are matched.
BLOCKS_PER_REQUEST = 64
# Probability that a block was not evicted by the events lost in one gap.
GAP_SURVIVAL_PROBABILITY = 0.95


@dataclasses.dataclass(slots=True)
class ServerCache:
    """Known contents of one backend server's cache.

    ``blocks`` maps each block to the generation in which it was last confirmed,
    least recently confirmed first. Only blocks of the current generation are
    trusted.
    """

    boot_id: str = ""
    sequence: int = -1
    generation: int = 0
    blocks: collections.OrderedDict[str, int] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class PrefixIndex:
    """An index from prefix blocks to the servers that hold them."""

    def __init__(
        self,
        blocks_per_server: int = BLOCKS_PER_SERVER,
        blocks_total: int = BLOCKS_TOTAL,
    ) -> None:
        self._blocks_per_server = blocks_per_server
        self._blocks_total = blocks_total
        self._caches: collections.OrderedDict[str, ServerCache] = (
            collections.OrderedDict()
        )
        self._holders: dict[str, dict[str, None]] = {}
        self.size = 0

    def apply_event(self, event: work.CacheEvent) -> None:
        """Applies one event; earlier events may be lost or arrive later.

        Events are applied only if they have the boot id that the agent reported. An
        event does not show whether its boot id is newer than another one, and a
        late event from before a restart would add blocks that no longer exist.
        """
        cache = self._caches.get(event.backend_server)
        if cache is None or cache.boot_id != event.boot_id:
            return
        is_late = event.sequence <= cache.sequence
        if not is_late:
            if cache.sequence >= 0 and event.sequence > cache.sequence + 1:
                cache.generation += 1
            cache.sequence = event.sequence
            for block in event.stored:
                self._store(event.backend_server, cache, block)
        for block in event.evicted:
            self._remove(event.backend_server, cache, block)

    def update_boot_id(self, name: str, boot_id: str) -> None:
        """Sets a server's boot id; a new one means that its cache is empty."""
        cache = self._get_or_create_cache(name)
        if cache.boot_id == boot_id:
            return
        self._clear(name, cache)
        cache.boot_id = boot_id
        cache.sequence = -1

    def confirm(self, name: str, blocks: tuple[str, ...]) -> None:
        """Records that a server has just processed a prompt with these blocks."""
        cache = self._get_or_create_cache(name)
        for block in blocks[:BLOCKS_PER_REQUEST]:
            self._store(name, cache, block)

    def forget(self, name: str) -> None:
        """Removes a server that left."""
        if name in self._caches:
            self._clear(name, self._caches[name])
            del self._caches[name]

    def count_cached(self, name: str, blocks: tuple[str, ...]) -> int:
        """Counts the leading blocks that the server holds according to trusted entries.

        Blocks of earlier generations do not count.
        """
        cache = self._caches.get(name)
        if cache is None or not cache.blocks:
            return 0
        count = 0
        for block in blocks[:BLOCKS_PER_REQUEST]:
            if cache.blocks.get(block, -1) != cache.generation:
                break
            count += 1
        return count

    def estimate_cached(self, name: str, blocks: tuple[str, ...]) -> float:
        """Estimates how many leading blocks the server holds.

        With one event in ten lost, counting only trusted blocks left the index
        nearly empty, although most blocks are still cached after a gap. A block
        therefore counts less with each gap since it was confirmed.
        """
        cache = self._caches.get(name)
        if cache is None or not cache.blocks:
            return 0.0
        expected = 0.0
        probability = 1.0
        for block in blocks[:BLOCKS_PER_REQUEST]:
            generation = cache.blocks.get(block)
            if generation is None:
                break
            probability = min(
                probability, GAP_SURVIVAL_PROBABILITY ** (cache.generation - generation)
            )
            expected += probability
        return expected

    def list_holders(self, blocks: tuple[str, ...], limit: int) -> list[str]:
        """Lists up to ``limit`` servers that recently held the longest known prefix.

        They are candidates only: the prefix may have been evicted by an event that
        was lost in a gap.
        """
        for block in reversed(blocks[:BLOCKS_PER_REQUEST]):
            names = self._holders.get(block)
            if names:
                # Most recently confirmed first. Reading only a few bounds the cost
                # for a block that all servers hold.
                return list(itertools.islice(reversed(names), limit))
        return []

    def _get_or_create_cache(self, name: str) -> ServerCache:
        if name not in self._caches:
            self._caches[name] = ServerCache()
        return self._caches[name]

    def _store(self, name: str, cache: ServerCache, block: str) -> None:
        if block not in cache.blocks:
            self.size += 1
        cache.blocks[block] = cache.generation
        cache.blocks.move_to_end(block)
        names = self._holders.setdefault(block, {})
        names.pop(name, None)
        names[name] = None
        if len(cache.blocks) > self._blocks_per_server:
            self._remove(name, cache, next(iter(cache.blocks)))
        if self.size > self._blocks_total:
            self._evict()

    def _evict(self) -> None:
        name, cache = next(iter(self._caches.items()))
        if cache.blocks:
            self._remove(name, cache, next(iter(cache.blocks)))
        self._caches.move_to_end(name)
        if self.size > self._blocks_total:
            self._evict_from_largest()

    def _evict_from_largest(self) -> None:
        name, cache = max(self._caches.items(), key=lambda item: len(item[1].blocks))
        self._remove(name, cache, next(iter(cache.blocks)))

    def _remove(self, name: str, cache: ServerCache, block: str) -> None:
        if block not in cache.blocks:
            return
        del cache.blocks[block]
        self.size -= 1
        names = self._holders[block]
        del names[name]
        if not names:
            del self._holders[block]

    def _clear(self, name: str, cache: ServerCache) -> None:
        for block in list(cache.blocks):
            self._remove(name, cache, block)
