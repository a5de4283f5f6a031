"""A fake rank, which asks its agent for a permit before each step and logs the step.

Each fake rank runs at its own speed: unlike in real engines, no exchange of tokens
keeps the ranks of a group in lock-step.
"""

import asyncio

import loguru
import pydantic
import tornado.httpclient

from lycheegauge.internal.protocol import calls, steps

RETRY_INTERVAL_S = 0.1
LOAD_TIME_S = 0.05


class FakeRank:
    """Runs steps as long as its agent permits them.

    Args:
        agent: IP:PORT at which the agent receives announcements.
        boot_id: Identifies this start of the fake.
        rank: The rank's number.
    """

    def __init__(self, agent: str, boot_id: str, rank: int) -> None:
        self._agent = agent
        self._boot_id = boot_id
        self._rank = rank
        self._step = 0
        self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    async def run(self, step_time_s: float) -> None:
        """Runs steps until cancelled."""
        try:
            while True:
                started = await self._try_step()
                await asyncio.sleep(step_time_s if started else RETRY_INTERVAL_S)
        finally:
            self._client.close()

    async def _try_step(self) -> bool:
        question = steps.StepQuestion(step=self._step, boot_id=self._boot_id)
        try:
            code, body = await self._post("step", question)
            if code == 200:
                answer = steps.StepAnswer.model_validate_json(body)
                self._start_step(answer)
                await self._load(answer.wanted)
                return True
            refusal = steps.StepRefusal.model_validate_json(body)
            self._step = max(self._step, refusal.next_step)
            await self._load(refusal.wanted)
        except (OSError, tornado.httpclient.HTTPError, pydantic.ValidationError):
            # The agent is unreachable or not ready. Without a permit no step may run.
            pass
        return False

    def _start_step(self, answer: steps.StepAnswer) -> None:
        loguru.logger.info(
            "started a step",
            step="run step",
            number=answer.step,
            rank=self._rank,
            map_version=answer.map_version,
            epoch=answer.epoch,
        )
        self._step = answer.step + 1

    async def _load(self, wanted: steps.WantedMap | None) -> None:
        if wanted is None:
            return
        await asyncio.sleep(LOAD_TIME_S)
        report = steps.LoadedReport(
            version=wanted.version, epoch=wanted.epoch, boot_id=self._boot_id
        )
        await self._post("loaded", report)

    async def _post(self, path: str, model: calls.Model) -> tuple[int, bytes]:
        response = await self._client.fetch(
            f"http://{self._agent}/v1/{path}",
            method="POST",
            body=model.model_dump_json(),
            raise_error=False,
        )
        return response.code, response.body
