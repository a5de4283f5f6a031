import asyncio

import behave

from lycheegauge import errors
from lycheegauge.internal.protocol import roster
from lycheegauge.internal.protocol.generated import services_grpc
from lycheegauge.internal.transport import peers, services

ANSWER = roster.MembershipAnswer("127.0.0.1:1", ())


async def answer(_):
    return ANSWER


async def call(pool, address):
    return await pool.call(
        address,
        "find log hosts",
        lambda channel: services_grpc.RosterHostStub(channel).ListLogHosts,
        roster.MembershipQuestion(),
        drop_on_failure=True,
    )


@behave.given("a peer whose connection closes between its set-up and the call")
def make_closing_peer(context):
    async def run():
        service = services.RosterHostService(*[answer] * 6)
        server = peers.PeerServer("127.0.0.1:0", [service])
        address = await server.start()
        pool = peers.ChannelPool()
        channel = pool.get_channel(address)
        connect = channel.__connect__

        async def connect_and_close():
            protocol = await connect()
            protocol.processor.close()
            return protocol

        channel.__connect__ = connect_and_close
        outcomes = []
        for _ in range(2):
            try:
                outcomes.append(await call(pool, address))
            except Exception as error:
                outcomes.append(error)
        pool.close()
        await server.close()
        return outcomes

    context.outcomes = asyncio.run(run())


@behave.then("the call fails as unreachable and the next one succeeds")
def check_outcomes(context):
    failed, succeeded = context.outcomes
    assert isinstance(failed, errors.PeerUnreachableError), repr(failed)
    assert succeeded == ANSWER, repr(succeeded)
