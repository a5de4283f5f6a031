import asyncio
import itertools

import behave
from support import virtualtime

from lycheegauge import errors, settings
from lycheegauge.internal.daemons import gateway
from lycheegauge.internal.protocol import freshness, nativedialect, roster
from lycheegauge.internal.transport import clock

assert nativedialect
HOSTS = tuple(f"10.0.0.{number}:7000" for number in range(1, 7))
OLD_LEADER, NEW_LEADER = HOSTS[0], HOSTS[3]
NOTICED_S = 0.8
"""Time after which the other log hosts know that the leader is lost, in seconds."""
ANSWER_S = 0.002
LEASE_S = 2.5


class LogHosts:
    """Log hosts as an entry host sees them; hosts that are down answer nothing."""

    def __init__(self, lost_at, elected_at=float("inf"), down=()):
        self.lost_at, self.elected_at, self.down = lost_at, elected_at, down
        self.lost_replies = 0
        self.pulled_at = []

    def find_leader(self, now):
        if self.down and now >= self.elected_at:
            return NEW_LEADER
        is_noticed = self.down and now >= self.lost_at + NOTICED_S
        return "" if is_noticed else OLD_LEADER

    async def call(self, address, step, method, message, timeout_s=1.0, **_):
        now = clock.read_clock()
        is_down = address in self.down and now >= self.lost_at
        is_lost = address == OLD_LEADER and self.lost_replies and now >= self.lost_at
        if is_down or is_lost:
            self.lost_replies -= bool(is_lost)
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachableError("deadline exceeded", step, address)
        await asyncio.sleep(ANSWER_S)
        leader = self.find_leader(clock.read_clock())
        if step == "find log hosts":
            return roster.MembershipAnswer(leader, HOSTS)
        if address != leader:
            return roster.RosterReply(None, leader, HOSTS)
        self.pulled_at.append(clock.read_clock())
        proof = freshness.Proof(1, 0.0, 0.0)
        return roster.RosterReply(proof, leader, HOSTS, source=leader, whole=True)


def make_daemon(hosts):
    local = "127.0.0.1:0"
    part = settings.GatewaySettings(
        name="gateway-1", availability_zone="zone-a", caller_address=local,
        readiness_address=local, peer_address="127.0.0.1:7000",
        roster={"seed_hosts": HOSTS[:3], "lease_s": LEASE_S},
    )  # fmt: skip
    daemon = gateway.GatewayDaemon(part)
    daemon._pool.call = hosts.call
    return daemon


async def pull_until(hosts, end):
    daemon = make_daemon(hosts)
    pulling = asyncio.create_task(daemon._keep_pulling())
    await asyncio.sleep(end - clock.read_clock())
    pulling.cancel()
    await asyncio.gather(pulling, return_exceptions=True)
    daemon.metrics.close()


@behave.given("six log hosts of which the leader and another one lose power")
def lose_two(context):
    others = [host for host in HOSTS if host not in (OLD_LEADER, NEW_LEADER)]
    context.down = [(OLD_LEADER, other) for other in others]


@behave.when("a third one is elected {first_s:d} to {last_s:d} seconds later")
def elect(context, first_s, last_s):
    context.after_s = [step / 10 for step in range(10 * first_s, 10 * last_s + 1)]


@behave.then(
    "an entry host pulls from it within {limit_s:g} second, whichever they are and "
    "whenever"
)
def check_found(context, limit_s):
    late_s = []
    for down, after_s in itertools.product(context.down, context.after_s):

        async def run(down=down, after_s=after_s):
            lost_at = clock.read_clock() + 2.0
            elected_at = lost_at + after_s
            hosts = LogHosts(lost_at, elected_at, down)
            await pull_until(hosts, elected_at + 5.0)
            late_s.append(
                min(at for at in hosts.pulled_at if at > lost_at) - elected_at
            )

        virtualtime.run_with_sockets(run())
    print(f"figure: a new leader is found after {max(late_s):.2f} s at most")
    assert max(late_s) <= limit_s, max(late_s)


@behave.given("six log hosts of which the leader loses one reply")
def lose_reply(context):
    context.lost_replies = 1


@behave.then("each of {count:d} entry hosts pulls from it within {limit_s:g} second")
def check_returned(context, count, limit_s):
    for number in range(count):

        async def run(number=number):
            lost_at = clock.read_clock() + 2.0 + number / count
            hosts = LogHosts(lost_at)
            hosts.lost_replies = context.lost_replies
            await pull_until(hosts, lost_at + 5.0)
            before = max(at for at in hosts.pulled_at if at <= lost_at)
            after = min(at for at in hosts.pulled_at if at > lost_at)
            assert not hosts.lost_replies
            assert after - before <= limit_s + 0.8, after - before

        virtualtime.run_with_sockets(run())
