"""An order to end an evacuation that was answered elsewhere takes effect later."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets

FREEZE_S = 4.0
WATCH_S = 14.0


async def play(fleet, record):
    operator = fleets.Operator(fleet, record)
    await operator.put_manifest(fleets.make_manifest(7))
    replicas = [
        fleets.Replica(
            fleet, record, f"i-{zone}", zone, f"127.{fleets.BLOCK}.3.{n + 1}"
        )
        for n, zone in enumerate(fleets.ZONES)
    ]
    for replica in replicas:
        await replica.start()
    await fleets.wait_until_ready(fleet)
    requester = fleets.Requester(fleet, record)
    requester.start()
    await fleets.wait_until(lambda: all(item.runs for item in replicas), "all run")
    leader = await fleet.find_leader()
    follower = next(item for item in fleet.cores if item is not leader)
    others = [item for item in fleet.cores if item is not follower]
    addresses = [fleet.control_address(item) for item in others]
    record.write(f"{leader.name} leads; {follower.name} is a follower")

    zone = "zone-b"
    await operator.evacuate(zone)
    await asyncio.sleep(fleets.EVACUATION_S)

    frozen_at = record.now()
    if fleets.has_trouble():
        record.write(f"{follower.name} freezes")
        follower.freeze()
    await asyncio.sleep(0.2)
    # The operator happens to pick the frozen machine first, then another one.
    await operator.evacuate(
        zone, False, nodes=[fleet.control_address(follower), *addresses]
    )
    # The zone is still needed empty: the operator evacuates it again.
    acked_at = await operator.evacuate(zone, nodes=addresses)
    await asyncio.sleep(max(0.0, FREEZE_S - (record.now() - frozen_at)))
    if fleets.has_trouble():
        record.write(f"{follower.name} wakes")
        follower.thaw()
    woken_at = record.now()
    await asyncio.sleep(WATCH_S)
    await requester.stop()

    # From then on the core is stable and all machines are in touch.
    from_s = max(woken_at + fleets.CONTACT_S, acked_at + fleets.EVACUATION_S) + 0.2
    emptied = next(item for item in replicas if item.zone == zone)
    late = [item for item in emptied.runs if item[0] > from_s]
    record.write(
        f"evacuation acknowledged at {acked_at:.3f}; in touch from {from_s:.3f}; "
        f"requests that reached {zone} after that: {len(late)}"
    )
    for replica in replicas:
        await replica.close()
    if late:
        return f"EVAC: {len(late)} requests reached the evacuated {zone}"
    return ""


fleets.run_case(pathlib.Path(__file__).resolve().parent, play)
