"""Tests of deployments, running the stand-ins only."""

import json
from pathlib import Path

import pytest
from aiohttp import ClientError

from trefoilhaven_bench.caller.reports import RefusedAttempt
from trefoilhaven_bench.deployments.children import Child, ChildFailedError
from trefoilhaven_bench.deployments.descriptions import (
    DeploymentDescription,
    ServiceDescription,
    read_description,
)
from trefoilhaven_bench.deployments.layouts import Layout, ProcessPlan
from trefoilhaven_bench.deployments.running import Deployment
from trefoilhaven_bench.verdicts import (
    find_refused_but_ran,
    find_run_twice,
    imbalance,
)
from trefoilhaven_core.configuration.files import read_service_files
from trefoilhaven_core.settings.loader import (
    load_agent_settings,
    load_balancer_settings,
)

_EXAMPLES = Path(__file__).parents[5] / 'examples'
_SMALL = DeploymentDescription(
    'small',
    'lin',
    'tw-south',
    ('tainan-a', 'kaohsiung-b', 'pingtung-c'),
    (ServiceDescription('certify', '127.1.1.2:7000', 2, 3),),
    proxied=True,
)


class TestDeployment:
    """Starting, controlling and stopping processes."""

    async def test_stand_ins(self, tmp_path: Path) -> None:
        """Guards against stand-ins that don't start from planned settings."""
        async with Deployment(_SMALL, tmp_path) as deployment:
            layout = deployment.layout
            target, agent = layout.plan_target(_SMALL.services[0], 1)
            await deployment.run(
                (
                    layout.plan_platform(),
                    layout.plan_fabric(),
                    layout.plan_proxy(),
                    target,
                ),
            )
            await deployment.set_cut('tainan-a', '*', cut=True)
            await deployment.set_platform_faults(down=True)
            await deployment.set_behaviour(target.name, shedding=True)
            pages = await deployment.fetch_pages('certify', 'ran')
            assert pages[0]['target'] == target.name == agent.settings['name']
            assert not await deployment.stop()
        running = [child.running for child in deployment.children.values()]
        assert running == [False] * 4

    async def test_early_end(self, tmp_path: Path) -> None:
        """Guards against waiting for a process that has exited."""
        plan = ProcessPlan('none', 'target', '', ('no_such_module',), {}, '')
        async with Deployment(_SMALL, tmp_path) as deployment:
            child = Child(plan, tmp_path)
            await child.start()
            await child.wait()
            with pytest.raises(ChildFailedError, match='no_such_module'):
                await child.until_ready(deployment.session)

    async def test_paused(self, tmp_path: Path) -> None:
        """Guards against a paused process that still answers."""
        async with Deployment(_SMALL, tmp_path) as deployment:
            plan = deployment.layout.plan_platform()
            await deployment.run((plan,))
            deployment.pause(plan.name)
            child = deployment.children[plan.name]
            with pytest.raises(ChildFailedError, match='not ready'):
                await child.until_ready(deployment.session, timeout_s=0.3)
            deployment.resume(plan.name)
            await child.until_ready(deployment.session)
            await deployment.kill(plan.name)
            with pytest.raises(ClientError):
                await deployment.fetch(plan.ready)

    @pytest.mark.parametrize('name', ['lin', 'tincycle'])
    @pytest.mark.parametrize('proxied', [False, True])
    def test_examples(
        self,
        name: str,
        proxied: bool,  # noqa: FBT001
        tmp_path: Path,
    ) -> None:
        """Guards against planned settings that the loaders reject."""
        description = read_description(_EXAMPLES / f'deployments/{name}.json')
        layout = Layout(description._replace(proxied=proxied))
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps(layout.plan_balancer(4).settings))
        assert load_balancer_settings(path).is_ok()
        for service in description.services:
            _, agent = layout.plan_target(service, 1)
            path.write_text(json.dumps(agent.settings))
            assert load_agent_settings(path).is_ok()
        files = [
            _EXAMPLES / f'services/{service.name}.json'
            for service in description.services
        ]
        assert read_service_files(files).is_ok()


class TestVerdicts:
    """Evaluation of requests by the pages of the targets."""

    def test_run_twice(self) -> None:
        """Guards against missing a second start at another target."""
        pages = [
            {'ran': {'a': [{'attempt': 1}], 'b': [{'attempt': 2}]}},
            {'ran': {'a': [{'attempt': 1}]}},
        ]
        assert find_run_twice(pages, ['a', 'b']) == ['a']
        refused = [RefusedAttempt('b', 1), RefusedAttempt('b', 2)]
        assert find_refused_but_ran(pages, refused) == refused[1:]

    def test_imbalance(self) -> None:
        """Guards against leaving a target without flows out of the mean."""
        assert imbalance({'a': 30, 'b': 30}, 3) == 1.5
