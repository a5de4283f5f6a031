"""Measures the cost of leased limits: bytes, processor time and memory.

    python benchmarks/limits.py

An entry host at 14.5 requests a second sees about 145 organisations in ten
seconds; a share granter serves the 6,300 organisations of one twelfth of the hosts.
"""

import argparse
import time
import tracemalloc

from lycheegauge.internal.coordination import limits, limitshares
from lycheegauge.internal.protocol import codec, intents, work

ACTIVE_ORGANISATIONS = 145
ORGANISATIONS = 6300
HOLDERS = 420


def make_organisations(count):
    return [intents.Organisation(f"org-{n}", 1.0, 5.0, 4) for n in range(count)]


def measure_bytes():
    holder = limits.ShareHolder("entry-1/1")
    granter = limitshares.ShareGranter("home-1", -100.0)
    for side in (holder, granter):
        side.set_limits(make_organisations(ACTIVE_ORGANISATIONS))
    sent = received = 0
    for step in range(400):
        now = step * 0.1
        number = step * 7 % ACTIVE_ORGANISATIONS
        request = work.Request("r", f"org-{number}", "s", b"", "", 9.0)
        holder.awaits_share(request.organisation, now)
        if holder.admit(request, now).value_or(False) is None:
            holder.note_ended(request.organisation, now)
        if step % 5 == 0:
            for addressed in holder.make_requests(["home-1"], now):
                grant = granter.handle_request(addressed.request, now)
                sent += len(codec.pack(addressed.request))
                received += len(codec.pack(grant))
                holder.apply_grant(grant, now)
    print(f"one holder, 10 requests/s: {sent / 40:.0f} bytes/s sent,"
          f" {received / 40:.0f} bytes/s received")  # fmt: skip


def measure_granter():
    organisation = make_organisations(1)[0]
    granter = limitshares.ShareGranter("home-1", -100.0)
    granter.set_limits([organisation])
    holders = []
    for number in range(HOLDERS):
        holder = limits.ShareHolder(f"entry-{number}/1")
        holder.set_limits([organisation])
        holder.awaits_share("org-0", 0.0)
        holders.append(holder)
    began_at, count = time.process_time(), 0
    for now in (0.0, 6.0, 12.0):
        for holder in holders:
            holder.awaits_share("org-0", now)
            for addressed in holder.make_requests(["home-1"], now):
                granter.handle_request(addressed.request, now)
                count += 1
    spent = (time.process_time() - began_at) / count * 1e6
    print(f"one organisation at {HOLDERS} holders: {spent:.0f} us a request")


def measure_memory():
    organisations = make_organisations(ORGANISATIONS)
    tracemalloc.start()
    holder = limits.ShareHolder("entry-1/1")
    granter = limitshares.ShareGranter("home-1", -100.0)
    for side in (holder, granter):
        side.set_limits(organisations)
    before = tracemalloc.get_traced_memory()[0]
    for organisation in organisations:
        holder.awaits_share(organisation.name, 0.0)
    held = tracemalloc.get_traced_memory()[0] - before
    addressed = holder.make_requests(["home-1"], 0.0)[0]
    before = tracemalloc.get_traced_memory()[0]
    granter.handle_request(addressed.request, 0.0)
    granted = tracemalloc.get_traced_memory()[0] - before
    print(f"{ORGANISATIONS} organisations active at once: holder {held / 1e6:.1f} MB,"
          f" granter with one holder each {granted / 1e6:.1f} MB")  # fmt: skip


def main():
    argparse.ArgumentParser(description=__doc__).parse_args()
    measure_bytes()
    measure_granter()
    measure_memory()


if __name__ == "__main__":
    main()
