"""Child processes of a deployment, signalled by their ids."""

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
    """A process exited, or did not become ready in time."""


class Child:
    """A process of a deployment, with its settings file and log."""

    def __init__(self, plan: ProcessPlan, directory: Path) -> None:
        """Create the child without starting the process."""
        self.plan = plan
        self.log = directory / f'{plan.name}.log'
        self._settings = directory / f'{plan.name}.json'
        self._process: asyncio.subprocess.Process | None = None
        self._not_ready_reason = 'not probed yet'

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Process id; raises ``ChildFailedError`` if it is not running."""
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
        """Poll the readiness URL until it answers 200.

        Raises ``ChildFailedError`` when the process exits or the timeout
        expires.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._is_ready(session):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            reason = f'{self.plan.name} not ready after {timeout_s:g} s'
            raise ChildFailedError(
                f'{reason}: {self._not_ready_reason}; log: {self.log}',
            ) from None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process.

        Raises ``ChildFailedError`` if it is not running.
        """
        os.kill(self.pid, number)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        self.send(signal.SIGKILL)
        await self.wait()

    async def wait(self) -> int:
        """Wait for the process to exit and return its exit code.

        It is 0 for a process that was never started.
        """
        if self._process is None:
            return 0
        return await self._process.wait()

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Stop the process with SIGTERM, or SIGKILL after the timeout.

        A paused process is continued first. Returns False if it was killed.
        """
        if not self.running:
            return True
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait(), timeout_s)
        except TimeoutError:
            logger.warning(
                '%s still running %g s after SIGTERM; sending SIGKILL',
                self.plan.name,
                timeout_s,
            )
            await self.kill()
            return False
        return True

    def log_tail(self) -> str:
        """Return the last 2000 bytes of the process's log."""
        if not self.log.exists():
            return ''
        return self.log.read_bytes()[-_LOG_TAIL_BYTES:].decode(
            errors='replace',
        )

    async def _is_ready(self, session: ClientSession) -> bool:
        if not self.running:
            raise ChildFailedError(
                f'{self.plan.name} exited: {self.log_tail()}',
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
    """Stop processes concurrently; return the names of those killed."""
    ordered = list(children)
    ended = await asyncio.gather(*[child.stop(timeout_s) for child in ordered])
    return [
        child.plan.name
        for child, in_time in zip(ordered, ended, strict=True)
        if not in_time
    ]


def _kill_leftover(process: asyncio.subprocess.Process) -> None:
    """Kill a process left running at exit, for example after an error."""
    if process.returncode is None:
        try:
            os.kill(process.pid, signal.SIGKILL)
        except ProcessLookupError:
            return
