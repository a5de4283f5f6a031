"""Measures the processor time of the fair queue.

python benchmarks/queueing.py
"""

import argparse
import time

from lycheegauge.internal.coordination import queueing
from lycheegauge.internal.protocol import work

ROUNDS = 200


def time_queue(organisations):
    """Returns the microseconds of ``dequeue`` plus ``add``, and of ``expire``."""
    queue, now = queueing.FairQueue(), 0.0
    for number in range(queueing.QUEUE_LENGTH):
        name = f"org-{number % organisations}"
        queue.add(work.Request(f"r{number}", name, "s", b"", "", 1e5), now)
    began_at = time.process_time()
    for _ in range(ROUNDS):
        now += 0.01
        queue.add(queue.dequeue(now), now)
    middle = time.process_time()
    for _ in range(ROUNDS):
        queue.expire(now)
    expired = time.process_time() - middle
    return (middle - began_at) / ROUNDS * 1e6, expired / ROUNDS * 1e6


def main():
    argparse.ArgumentParser(description=__doc__).parse_args()
    for organisations in (10, queueing.QUEUE_LENGTH):
        taken, expired = time_queue(organisations)
        print(
            f"{queueing.QUEUE_LENGTH} requests of {organisations} organisations:"
            f" dequeue + add {taken:.0f} us, expire {expired:.0f} us"
        )


if __name__ == "__main__":
    main()
