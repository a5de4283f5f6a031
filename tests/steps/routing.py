import collections

import behave
import hypothesis
from hypothesis import strategies
from support import routing as support

from lycheegauge.internal.coordination import prefixes, subset
from lycheegauge.internal.protocol import work

INDEXES = strategies.integers(0, 11)
LOADS = strategies.tuples(strategies.integers(0, 9), strategies.integers(1, 9))


@behave.then("least loaded routing agrees with a naive scan")
def check_least_loaded(context):
    @hypothesis.given(
        strategies.lists(LOADS, min_size=12, max_size=12),
        strategies.lists(INDEXES),
        strategies.sets(INDEXES),
    )
    @hypothesis.example([(0, 8), *[(1, 8)] * 11], [0, 0], set())
    def check(loads, sent, excluded):
        router = support.make_router("least_loaded")
        request = support.make_request("r")
        naive = {}
        for index, (running, limit) in enumerate(loads):
            router.apply_load_report(support.make_report(index, running, limit), 10.0)
            running += sent.count(index)
            if running < limit and index not in excluded:
                naive[f"server-{index}"] = running
        for index in sent:
            router.note_sent(f"server-{index}", request, 10.0)
        names = frozenset(f"server-{index}" for index in excluded)
        choice = router.choose(request, names, 10.0)
        if not naive:
            assert choice is None
        else:
            assert naive[choice.backend_server.name] == min(naive.values())

    check()


@behave.then("sampled routing chooses only servers that may take the request")
def check_sampled(context):
    @hypothesis.given(
        strategies.lists(LOADS, min_size=12, max_size=12),
        strategies.sets(INDEXES),
        strategies.sets(INDEXES),
        strategies.sets(INDEXES),
        strategies.sampled_from([(), ("zone-a",), ("zone-b", "zone-c")]),
        strategies.integers(0, 9),
    )
    def check(loads, excluded, failed, out, zones_out, seed):
        router = support.make_router(seed=seed)
        servers = [support.make_server(index) for index in range(12)]
        names_out = {f"server-{index}" for index in out}
        router.set_backend_servers(servers, zones_out, names_out)
        request = support.make_request("r")
        for index in failed:
            router.note_sent(f"server-{index}", request, 10.0)
            router.note_failed(f"server-{index}", request, 10.0)
        free = set()
        for index, (running, limit) in enumerate(loads):
            router.apply_load_report(support.make_report(index, running, limit), 10.0)
            zone_out = servers[index].availability_zone in zones_out
            if running < limit and not zone_out and index not in excluded | failed:
                free |= {f"server-{index}"} - names_out
        names = frozenset(f"server-{index}" for index in excluded)
        choice = router.choose(request, names, 10.0)
        kept = {f"server-{index}" for index in range(12)} - names - names_out
        zones = set(support.ZONES) - set(zones_out)
        left = any(
            item.name in kept for item in servers if item.availability_zone in zones
        )
        assert router.has_backend_server("drafting", names) == left
        assert (choice is None) == (not free)
        assert choice is None or choice.backend_server.name in free

    check()


BLOCKS = strategies.sampled_from([f"block-{number}" for number in range(8)])
CACHE_STEPS = strategies.lists(
    strategies.tuples(
        strategies.lists(BLOCKS, max_size=3),
        strategies.lists(BLOCKS, max_size=3),
        strategies.integers(0, 9).map(lambda number: number == 0),
    ),
    max_size=20,
)


def generate_cache_events(steps):
    """Yields each event with the actual cache contents after it."""
    boot, sequence, actual = 0, 0, set()
    for stored, evicted, restarted in steps:
        if restarted:
            boot, sequence, actual = boot + 1, 0, set()
        actual = (actual | set(stored)) - set(evicted)
        event = work.CacheEvent(
            "server-0", f"boot-{boot}", sequence, tuple(stored), tuple(evicted)
        )
        yield event, actual
        sequence += 1


def list_trusted(index):
    blocks = [f"block-{number}" for number in range(8)]
    trusted = {block for block in blocks if index.count_cached("server-0", (block,))}
    for block in blocks:
        likely = index.estimate_cached("server-0", (block,))
        assert (likely == 1.0) == (block in trusted)
        assert (likely > 0.0) == bool(index.list_holders((block,), 1))
    return trusted


@behave.then("the prefix index equals a naive set")
def check_prefixes_without_loss(context):
    @hypothesis.given(CACHE_STEPS)
    def check(steps):
        index = prefixes.PrefixIndex()
        for event, actual in generate_cache_events(steps):
            index.update_boot_id("server-0", event.boot_id)
            index.apply_event(event)
            assert list_trusted(index) == actual

    check()


@behave.then("each block that the prefix index trusts is in the server's cache")
def check_prefixes_with_loss(context):
    @hypothesis.given(
        CACHE_STEPS,
        strategies.lists(strategies.integers(0, 19), max_size=30),
    )
    @hypothesis.example([(["block-0"], [], False), ([], ["block-0"], False)], [1, 0])
    @hypothesis.example(
        [(["block-0"], [], False), ([], ["block-0"], False), ([], [], False)], [0, 2]
    )
    @hypothesis.example([(["block-0"], [], False), ([], [], True)], [0, 1, 0])
    @hypothesis.example([(["block-0"], [], False), ([], [], True)], [1, 0])
    def check(steps, delivered):
        played = list(generate_cache_events(steps))
        index = prefixes.PrefixIndex()
        newest = -1
        for position in delivered:
            if position >= len(played):
                continue
            newest = max(newest, position)
            index.update_boot_id("server-0", played[newest][0].boot_id)
            index.apply_event(played[position][0])
            assert list_trusted(index) <= played[newest][1]

    check()


@behave.then("the prefix index never exceeds its maximum number of blocks")
def check_prefix_bounds(context):
    @hypothesis.given(strategies.lists(strategies.tuples(INDEXES, BLOCKS)))
    def check(stored):
        index = prefixes.PrefixIndex(blocks_per_server=3, blocks_total=7)
        held = collections.defaultdict(collections.OrderedDict)
        for server, block in stored:
            index.confirm(f"server-{server}", (block,))
            held[server][block] = None
            held[server].move_to_end(block)
            assert index.count_cached(f"server-{server}", (block,)) == 1
            assert index.size <= 7
            assert index.size == sum(
                index.count_cached(f"server-{other}", (name,))
                for other in range(12)
                for name in {block for _, block in stored}
            )

    check()


@behave.then("routing subsets are even, cover every server and change little")
def check_subsets(context):
    @hypothesis.settings(max_examples=30)
    @hypothesis.given(
        strategies.integers(1, 40), strategies.integers(1, 120), strategies.integers()
    )
    def check(host_count, server_count, seed):
        hosts = [f"host-{seed}-{number}" for number in range(host_count)]
        servers = [support.make_server(index) for index in range(server_count)]
        covered = count_covered(hosts, servers)
        for zone in support.ZONES:
            counts = [n for (_, z), n in covered.items() if z == zone]
            assert not counts or max(counts) - min(counts) <= 1
        assert len(covered) == server_count
        for host in hosts[:3]:
            before = choose_names(host, hosts, servers, 12)
            grown = [*servers, support.make_server(server_count)]
            after = choose_names(host, hosts, grown, 12)
            assert len(before - after) <= 1 + 1 + 2

    check()


def choose_names(host, hosts, servers, size):
    chosen = subset.choose_servers(host, hosts, servers, size)
    return {server.name for server in chosen}


def count_covered(hosts, servers):
    covered = collections.Counter()
    for host in hosts:
        for server in subset.choose_servers(host, hosts, servers, 12):
            covered[server.name, server.availability_zone] += 1
    return covered


@behave.then(
    "an idle near server without a measured speed wins over an idle far one that "
    "has one"
)
def check_unmeasured_server(context):
    router = support.make_router(servers=2)
    router.apply_load_report(support.make_report(0, speed=0.0), now=1.0)
    router.apply_load_report(support.make_report(1, speed=8.0), now=1.0)
    choice = router.choose(support.make_request("r1"), frozenset(), now=1.0)
    assert choice.backend_server.name == "server-0", choice.explanation
