"""A late second copy of a refusal is taken for the answer to the request sent again."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets

PLAY_S = 60.0
SLOTS = 6
QUEUE = 2
WORK_S = 0.06
COPIED_FRACTION = 0.03
FAULTY_S = 5.0  # for so long, and then for as long not
ZONE_DELAY_S = 0.0028  # to a back end and back
REQUESTS_PER_S = 120.0


class DeskReplica(fleets.Replica):
    """A back end with slots and a short queue; a faulty one sends answers twice.

    The second copy arrives late, when the next answer on its channel is due.
    """

    def __init__(self, *arguments, copies, **options):
        super().__init__(*arguments, **options)
        self.random = random.Random(copies)
        self.copies = copies
        self.held = 0
        self.free = asyncio.Semaphore(SLOTS)
        self.late = {}
        self.refused = []

    async def answer(self, request, writer):
        await asyncio.sleep(ZONE_DELAY_S)
        late = self.late.pop(writer, None)
        if late is not None:
            self.record.write(f"replica {self.name} sends a late copy for {late[0]}")
            writer.write(late[1])
        method, path, headers, _ = request
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", "")
        fields = {"X-Attempt-Id": attempt}
        if expected and expected != self.name:
            status, body = 421, b""
            fields |= {"X-Not-Executed": "1", "At-Server": self.name}
        elif path == "/healthz":
            status, body, fields = 200, b"", {"X-Instance-Id": self.name}
        elif self.held >= SLOTS + QUEUE:
            status, body = 503, b""
            fields |= {"X-Not-Executed": "1", "At-Server": self.name}
            self.refused.append((self.record.now(), attempt))
            self.record.write(f"replica {self.name} is full, does not run {attempt}")
        else:
            self.held += 1
            try:
                async with self.free:
                    self.runs.append((self.record.now(), attempt))
                    self.record.write(f"replica {self.name} runs {attempt}")
                    await asyncio.sleep(WORK_S)
            finally:
                self.held -= 1
            status, body = 200, f"{method} {path} {attempt}".encode()
            fields["X-Response-Seal"] = f"seal.{attempt}"
        fields["X-Server-Load"] = f"{min(self.held, SLOTS)},0,{SLOTS}"
        text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        answer = (
            f"HTTP/1.1 {status} X\r\n{text}Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        writer.write(answer)
        is_faulty = self.copies and self.record.now() % (2 * FAULTY_S) < FAULTY_S
        if is_faulty and self.random.random() < COPIED_FRACTION:
            self.late[writer] = (attempt, answer)


async def play(fleet, record):
    operator = fleets.Operator(fleet, record)
    await operator.put_manifest(fleets.make_manifest(7))
    replicas = [
        DeskReplica(
            fleet, record, f"i-{zone}", zone, f"127.{fleets.BLOCK}.3.{n + 1}",
            copies=n + 1 if fleets.has_trouble() and n < 1 else 0,
        )
        for n, zone in enumerate(fleets.ZONES[:2])
    ]  # fmt: skip
    for replica in replicas:
        replica.slots = SLOTS
        await replica.start()
    await fleets.wait_until_ready(fleet)
    requester = fleets.Requester(fleet, record, "/book/", "POST")
    await asyncio.sleep(fleets.CONTACT_S + 1.0)

    # One of the two zones is emptied, and somewhat more is booked than is free.
    await operator.evacuate("zone-b")
    await asyncio.sleep(fleets.EVACUATION_S)
    started_at = record.now()
    number = 0
    tasks = []
    while record.now() < started_at + PLAY_S:
        while number < REQUESTS_PER_S * (record.now() - started_at):
            number += 1
            front = fleet.fronts[number % len(fleet.fronts)]
            tasks.append(
                asyncio.create_task(requester.request(front, f"b{number:06d}"))
            )
        await asyncio.sleep(0.002)
    await asyncio.wait(tasks, timeout=6.0)
    await asyncio.sleep(1.0)

    runs = {}
    for replica in replicas:
        for _, attempt in replica.runs:
            runs[attempt] = runs.get(attempt, 0) + 1
    promised = [
        attempt for attempt, status in requester.answers.items()
        if status in (408, 421, 429, 503) and runs.get(attempt)
    ]  # fmt: skip
    twice = [attempt for attempt, count in runs.items() if count > 1]
    refused = sum(len(item.refused) for item in replicas)
    record.write(
        f"{number} requests, {sum(runs.values())} runs, {refused} refusals by replicas; "
        f"run although answered 'not run': {promised}; run more than once: {twice}"
    )
    for replica in replicas:
        await replica.close()
    if twice:
        return f"TWICE: {len(twice)} requests ran more than once: {twice[0]}"
    if promised:
        return f"REFUSED: {len(promised)} requests were refused and ran: {promised[0]}"
    return ""


fleets.run_case(pathlib.Path(__file__).resolve().parent, play)
