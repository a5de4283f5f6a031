import collections
import json
import random

import behave
import hypothesis
from hypothesis import strategies

from lycheegauge import settings
from lycheegauge.internal.coordination import discovery
from lycheegauge.internal.daemons import entry
from lycheegauge.internal.protocol import calls, freshness

ZONES = [f"zone-{index}" for index in range(7)]
ANSWER_BYTES_MAX = 4096


def make_host(index, zone, leaving=False):
    address = f"10.100.{index // 250}.{index % 250}:7100"
    return freshness.EntryHost(
        f"entry-{index}", zone, address, address, address, "1", leaving
    )


FLEETS = strategies.lists(
    strategies.tuples(strategies.sampled_from(ZONES), strategies.booleans()),
    max_size=40,
).map(lambda drawn: [make_host(index, *given) for index, given in enumerate(drawn)])
OUT = strategies.sets(strategies.sampled_from(ZONES))
CALLER_ZONES = strategies.sampled_from([*ZONES, "", "unknown"])
SEEDS = strategies.integers(0, 1000)


@behave.then(
    "for any fleet discovery lists no leaving host and the caller's own zone first"
)
def check_order(context):
    @hypothesis.given(FLEETS, OUT, CALLER_ZONES, SEEDS)
    def check(hosts, out, caller_zone, seed):
        listed = discovery.choose_entries(hosts, out, caller_zone, random.Random(seed))
        assert not any(host.leaving for host in listed)
        assert len(set(listed)) == len(listed) <= discovery.MAX_ENTRIES
        assert set(listed) <= set(hosts)
        own = [host.availability_zone == caller_zone for host in listed]
        assert own == sorted(own, reverse=True)
        eligible = [host for host in hosts if not host.leaving]
        eligible = [
            host for host in eligible if host.availability_zone not in out
        ] or eligible
        zones = {host.availability_zone for host in eligible}
        assert {host.availability_zone for host in listed} == zones
        if caller_zone in zones:
            theirs = sum(host.availability_zone == caller_zone for host in eligible)
            assert sum(own) == min(theirs, discovery.OWN_ZONE_ENTRIES)

    check()


@behave.then("a zone that is out is listed only when no other zone is in service")
def check_out(context):
    @hypothesis.given(FLEETS, OUT, CALLER_ZONES, SEEDS)
    def check(hosts, out, caller_zone, seed):
        listed = discovery.choose_entries(hosts, out, caller_zone, random.Random(seed))
        usable = [host for host in hosts if not host.leaving]
        serving = [host for host in usable if host.availability_zone not in out]
        if serving:
            assert not any(host.availability_zone in out for host in listed)
        assert bool(listed) == bool(usable)

    check()


@behave.then(
    "over many responses each host of the zone is listed first about equally often"
)
def check_spread(context):
    hosts = [make_host(index, ZONES[index % 7]) for index in range(84)]
    generator = random.Random(7)
    answers = 12_000
    first = collections.Counter(
        discovery.choose_entries(hosts, (), ZONES[0], generator)[0].name
        for _ in range(answers)
    )
    assert len(first) == 12, first
    # A fair share is 1,000 of 12,000; 150 is five standard deviations.
    assert all(850 <= count <= 1150 for count in first.values()), first


@behave.then(
    "with 420 entry hosts in 7 zones a response is under 4 KB and lists each zone"
)
def check_size(context):
    hosts = [make_host(index, ZONES[index % 7]) for index in range(420)]
    listed = discovery.choose_entries(hosts, (), ZONES[3], random.Random(1))
    assert {host.availability_zone for host in listed} == set(ZONES)
    answer = calls.Discovery(
        entries=tuple(
            calls.EntryAddress(
                host=host.name,
                availability_zone=host.availability_zone,
                address=host.caller_address,
            )
            for host in listed
        ),
        valid_for_s=10.0,
    )
    size = len(answer.model_dump_json())
    print(f"figure: discovery lists {len(listed)} of 420 entry hosts in {size} bytes")
    assert size <= ANSWER_BYTES_MAX


@behave.then("an entry host's discovery response is valid for the time in its settings")
def check_entry_host(context):
    part = settings.EntrySettings(
        name="own",
        availability_zone="zone-1",
        caller_address="127.0.0.1:7100",
        operator_address="127.0.0.1:7200",
        peer_address="127.0.0.1:7300",
        log_hosts=("127.0.0.1:7300",),
        answer_valid_s=7.5,
    )
    daemon = entry.EntryDaemon(part)
    answer = json.loads(daemon.describe_entries("zone-1").model_dump_json())
    assert answer["valid_for_s"] == 7.5
    assert [host["host"] for host in answer["entries"]] == ["own"]
    daemon.stopping = True
    assert daemon.describe_entries("zone-1").entries == ()
