"""Processes that a deployment starts and ends, each by its id."""

import asyncio
import atexit
import json
import logging
import os
import signal
import sys
from collections.abc import Iterable
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from trefoilhaven_bench.deployments.layouts import ProcessPlan
from trefoilhaven_bench.settings import (
    POLL_INTERVAL_S,
    READY_TIMEOUT_S,
    STOP_TIMEOUT_S,
)

logger = logging.getLogger(__name__)

_LOG_TAIL_BYTES = 2000
_PROBE_TIMEOUT = ClientTimeout(total=1)


class ChildFailedError(Exception):
    """A process ended early or did not become ready in time."""


class Child:
    """One process of a deployment, with its settings file and log."""

    def __init__(self, plan: ProcessPlan, directory: Path) -> None:
        """Prepare the process without starting it."""
        self.plan = plan
        self.log = directory / f'{plan.name}.log'
        self._settings = directory / f'{plan.name}.json'
        self._process: asyncio.subprocess.Process | None = None
        self._not_ready_reason = 'not asked yet'

    @property
    def running(self) -> bool:
        """Say whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Id of the running process; raises ``ChildFailedError`` if none."""
        if self._process is None or not self.running:
            raise ChildFailedError(f'{self.plan.name} is not running')
        return self._process.pid

    async def start(self) -> None:
        """Write the settings file and start the process."""
        self._settings.write_text(json.dumps(self.plan.settings, indent=2))
        with self.log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *self.plan.command,
                str(self._settings),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        atexit.register(_kill_leftover, self._process)

    async def until_ready(
        self,
        session: ClientSession,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Poll the readiness URL; raise ``ChildFailedError`` when late."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_ready(session):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            reason = f'{self.plan.name} not ready in {timeout_s:g} s'
            raise ChildFailedError(
                f'{reason}: {self._not_ready_reason}; log: {self.log}',
            ) from None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self.pid, number)

    async def kill(self) -> None:
        """End the process at once and wait for its end."""
        self.send(signal.SIGKILL)
        await self.wait()

    async def wait(self) -> int:
        """Wait for the process to end; return its exit code."""
        if self._process is None:
            return 0
        return await self._process.wait()

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Ask the process to end; return False when it had to be killed."""
        if not self.running:
            return True
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait(), timeout_s)
        except TimeoutError:
            logger.warning(
                '%s still runs %g s after SIGTERM',
                self.plan.name,
                timeout_s,
            )
            await self.kill()
            return False
        return True

    def log_tail(self) -> str:
        """Return the end of the process's log."""
        if not self.log.exists():
            return ''
        return self.log.read_bytes()[-_LOG_TAIL_BYTES:].decode(
            errors='replace',
        )

    async def _is_ready(self, session: ClientSession) -> bool:
        if not self.running:
            raise ChildFailedError(
                f'{self.plan.name} ended: {self.log_tail()}',
            )
        try:
            async with session.get(
                self.plan.ready,
                timeout=_PROBE_TIMEOUT,
            ) as answer:
                self._not_ready_reason = (await answer.text()).strip()
                return answer.status == 200
        except (ClientError, OSError, TimeoutError) as exc:
            self._not_ready_reason = str(exc) or type(exc).__name__
            return False


async def stop_all(
    children: Iterable[Child],
    timeout_s: float,
) -> list[str]:
    """Stop processes side by side; return those that had to be killed."""
    ordered = list(children)
    ended = await asyncio.gather(*[child.stop(timeout_s) for child in ordered])
    return [
        child.plan.name
        for child, in_time in zip(ordered, ended, strict=True)
        if not in_time
    ]


def _kill_leftover(process: asyncio.subprocess.Process) -> None:
    """End a process that its runner left behind, for example on an error."""
    if process.returncode is None:
        try:
            os.kill(process.pid, signal.SIGKILL)
        except ProcessLookupError:
            return
