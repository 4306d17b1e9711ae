"""Operator commands for a running deployment: publish, drain, status."""

import asyncio
import json
import shutil
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from trefoilhaven_bench.deployments.running import Deployment
from trefoilhaven_bench.settings import POLL_INTERVAL_S
from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.telemetry.messages import (
    DrainReply,
    DrainRequest,
    StatusReply,
    StatusRequest,
)
from trefoilhaven_core.wire.calls import call_peer
from trefoilhaven_core.wire.codec import make_codec


class CommandError(Exception):
    """An operator command failed; the message holds its output."""


class InForce(NamedTuple):
    """A configuration version and the seconds until all processes had it."""

    version: int
    seconds: float


class OperatorCommands:
    """Operator commands for one deployment.

    Service files are copied to the deployment's directory, since publishing
    keeps a lock file beside them that is valid for one platform only.
    """

    def __init__(self, deployment: Deployment, sources: Path) -> None:
        """Take the service files from the directory ``sources``."""
        self._deployment = deployment
        self._sources = sources
        self._files = deployment.directory / 'services'
        self._codec = make_codec()

    async def publish_all(self) -> None:
        """Copy and publish the service files of the deployment."""
        self._files.mkdir(parents=True, exist_ok=True)
        copies = []
        for service in self._deployment.description.services:
            copy = self._file(service.name)
            source = self._sources / f'{service.name}.json'
            copy.write_text(source.read_text())
            copies.append(copy)
        await self.publish(copies)

    async def publish(self, files: Iterable[Path]) -> str:
        """Publish service files and return the command's output.

        Raises ``CommandError`` when the command fails.
        """
        platform = f'http://{self._deployment.layout.platform}'
        paths = [str(path) for path in files]
        return await self.run(
            'publish',
            '--platform',
            platform,
            '--publisher',
            'bench',
            *paths,
        )

    async def change_service(self, service: str, **changes: Any) -> int:
        """Publish a service with changed top-level values.

        Returns the new version.
        """
        path = self._file(service)
        content = json.loads(path.read_text())
        path.write_text(json.dumps({**content, **changes}, indent=2))
        await self.publish([path])
        return await self.published_version(service)

    async def published_version(self, service: str) -> int:
        """Return the version of a service's configuration on the platform."""
        platform = self._deployment.layout.platform
        url = f'http://{platform}/objects/services/{service}'
        stored = await self._deployment.fetch(url)
        return int(stored['version'])

    async def drain(self, service: str, target: str) -> float:
        """Drain a target; return the Unix time at which it accepted.

        Raises ``CommandError`` when it does not answer or does not accept.
        """
        address = self._deployment.product_rpc()[f'agent-{target}']
        request = DrainRequest(service, target, drain=True)
        reply = await call_peer(address, request, codec=self._codec)
        if reply.is_error():
            raise CommandError(str(reply.error))
        message = reply.ok.message
        if not isinstance(message, DrainReply) or not message.accepted:
            raise CommandError(f'{target} did not accept the drain: {message}')
        return time.time()

    async def statuses(self) -> dict[str, StatusReply]:
        """Return the statuses of the balancers and agents that answer."""
        addresses = self._deployment.product_rpc()
        replies = await asyncio.gather(
            *[
                call_peer(address, StatusRequest(), codec=self._codec)
                for address in addresses.values()
            ],
        )
        return {
            name: reply.ok.message
            for name, reply in zip(addresses, replies, strict=True)
            if reply.is_ok() and isinstance(reply.ok.message, StatusReply)
        }

    async def publish_concurrently(
        self,
        service: str,
        changes: Iterable[dict[str, Any]],
    ) -> list[str | CommandError]:
        """Publish several changes of one service file concurrently.

        Each publisher works on its own copy of all service files. Returns
        the output or the error of each publish.
        """
        copies = []
        for number, change in enumerate(changes):
            directory = self._files / f'publisher-{number}'
            shutil.copytree(
                self._files,
                directory,
                ignore=shutil.ignore_patterns('publisher-*'),
            )
            path = directory / f'{service}.json'
            content = json.loads(path.read_text())
            path.write_text(json.dumps({**content, **change}, indent=2))
            copies.append(path)
        return await asyncio.gather(
            *[self._try_publish(path) for path in copies],
        )

    async def states_seen(
        self,
        target: str,
        excluded_domain: str | None = None,
    ) -> set[MemberState]:
        """Return the states that the balancers report for a target.

        Balancers of the failure domain ``excluded_domain`` are left out.
        """
        return {
            status.member.state
            for reply in (await self.statuses()).values()
            if reply.role == 'balancer'
            and reply.failure_domain != excluded_domain
            for status in reply.members
            if status.member.target == target
        }

    async def until_in_force(
        self,
        service: str,
        version: int,
        timeout_s: float,
    ) -> InForce:
        """Wait until all processes that serve a service have a version.

        Raises ``CommandError`` with the names of the processes without it.
        """
        started_at = time.monotonic()
        late = await self._find_outdated(service, version)
        while late:
            if time.monotonic() - started_at > timeout_s:
                raise CommandError(f'version {version} is missing in {late}')
            await asyncio.sleep(POLL_INTERVAL_S)
            late = await self._find_outdated(service, version)
        return InForce(version, time.monotonic() - started_at)

    async def timeline(self, *filters: str) -> dict[str, Any]:
        """Return the JSON output of ``timeline`` from a running balancer."""
        balancer = next(iter(self._deployment.running_rpc().values()))
        options = ('--balancer', balancer, '--output', 'json')
        content: dict[str, Any] = json.loads(
            await self.run('timeline', *options, *filters),
        )
        return content

    async def run(self, *arguments: str) -> str:
        """Run a command of the ``trefoilhaven`` binary; return its output.

        Raises ``CommandError`` with the output for a nonzero exit code.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'trefoilhaven.cli',
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        if process.returncode:
            printed = (output + errors).decode()
            raise CommandError(f'{arguments[0]} failed: {printed}')
        return output.decode()

    async def _try_publish(self, path: Path) -> str | CommandError:
        try:
            return await self.publish([path])
        except CommandError as exc:
            return exc

    async def _find_outdated(self, service: str, version: int) -> list[str]:
        concerned = {
            name
            for name, child in self._deployment.children.items()
            if child.running
            and (
                child.plan.role == 'balancer'
                or (
                    child.plan.role == 'agent'
                    and child.plan.settings['service'] == service
                )
            )
        }
        current = {
            name
            for name, status in (await self.statuses()).items()
            if status.versions.get(service, 0) >= version
        }
        return sorted(concerned - current)

    def _file(self, service: str) -> Path:
        return self._files / f'{service}.json'
