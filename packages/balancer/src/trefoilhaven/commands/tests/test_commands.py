"""Tests of the commands: output, errors and exit codes."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any
from xml.etree import ElementTree

import pytest
from typer.testing import CliRunner, Result

from trefoilhaven.cli import app
from trefoilhaven.commands import (
    acknowledgements,
    fetches,
    process_calls,
    publishes,
)
from trefoilhaven.commands.tests.support import (
    SECOND_BALANCER,
    Peers,
    make_member,
)
from trefoilhaven_core.membership.messages import MemberState
from trefoilhaven_core.platform.tests.support import MemoryPlatform

_BALANCER = ('--balancer', '127.0.1.1:9002')
_FLOW = '17,127.0.0.1,4000,127.1.0.1,7000'


def _run(*arguments: str) -> Result:
    return CliRunner().invoke(app, list(arguments))


@pytest.fixture(name='peers')
def _peers(monkeypatch: pytest.MonkeyPatch) -> Peers:
    peers = Peers([make_member(number) for number in (1, 2, 3)])
    monkeypatch.setattr(process_calls, 'call_peer', peers.call)
    return peers


@pytest.fixture(name='platform')
def _platform(monkeypatch: pytest.MonkeyPatch) -> MemoryPlatform:
    platform = MemoryPlatform()
    factory: Callable[..., Any] = lambda *_: platform  # noqa: E731
    monkeypatch.setattr(publishes, 'HttpPlatformClient', factory)
    monkeypatch.setattr(fetches, 'HttpPlatformClient', factory)
    return platform


def _write_file(directory: Path, **changes: Any) -> Path:
    content = {
        'service': 'certify',
        'address': '127.1.0.1:7000',
        'operator': 'tincycle',
    }
    path = directory / 'service.json'
    path.write_text(json.dumps(content | changes, indent=1))
    return path


def _publish(path: Path, *more: str) -> Result:
    return _run(
        'publish',
        str(path),
        '--platform=http://127.0.0.1:8000',
        '--publisher=ann',
        *more,
    )


class TestCheck:
    """Findings and exit codes."""

    def test_findings(self, tmp_path: Path) -> None:
        """Guards against exit code 0 for a faulty file."""
        path = _write_file(tmp_path, warm_up_s=-1, adress='x')
        outcome = _run('check', str(tmp_path))
        assert outcome.exit_code == 1
        assert f'{path}:5: $.warm_up_s: -1 is outside' in outcome.stderr
        assert 'did you mean "address"?' in outcome.stderr

    def test_json(self, tmp_path: Path) -> None:
        """Guards against JSON output that scripts can not parse."""
        path = _write_file(tmp_path, operator=1)
        outcome = _run('check', str(path), '--output=json')
        assert json.loads(outcome.stdout)[0]['path'] == '$.operator'
        assert _run('check', str(_write_file(tmp_path))).exit_code == 0


class TestPublish:
    """Versions, conflicts and acknowledgement."""

    def test_lock_and_conflict(
        self,
        tmp_path: Path,
        platform: MemoryPlatform,
    ) -> None:
        """Guards against overwriting a newer version.

        Without its lock file, a publish has no base version.
        """
        path = _write_file(tmp_path)
        assert _publish(path).exit_code == 0
        assert _publish(_write_file(tmp_path, warm_up_s=7)).exit_code == 0
        (tmp_path / 'trefoilhaven.lock.json').unlink()
        outcome = _publish(_write_file(tmp_path, warm_up_s=9))
        assert outcome.exit_code == 3
        assert '-  "warm_up_s": 7' in outcome.stdout
        assert platform.writes == 2

    def test_fetch_ends_a_conflict(
        self,
        tmp_path: Path,
        platform: MemoryPlatform,
    ) -> None:
        """Guards against a conflict that remains after ``fetch``."""
        _publish(_write_file(tmp_path, warm_up_s=7))
        (tmp_path / 'trefoilhaven.lock.json').unlink()
        path = _write_file(tmp_path, warm_up_s=9)
        outcome = _run('fetch', str(path), '--platform=http://127.0.0.1:1')
        assert '-  "warm_up_s": 9' in outcome.stdout
        assert json.loads(path.read_text())['warm_up_s'] == 7
        assert _publish(_write_file(tmp_path, warm_up_s=9)).exit_code == 0

    def test_dry_run(self, tmp_path: Path, platform: MemoryPlatform) -> None:
        """Guards against a dry run that publishes or writes the lock file."""
        outcome = _publish(_write_file(tmp_path), '--dry-run')
        assert '+  "service": "certify"' in outcome.stdout
        assert not platform.writes
        assert not (tmp_path / 'trefoilhaven.lock.json').exists()

    def test_address_of_published_service(
        self,
        tmp_path: Path,
        platform: MemoryPlatform,
    ) -> None:
        """Guards against two services on one address."""
        _publish(_write_file(tmp_path))
        outcome = _publish(_write_file(tmp_path, service='collect'))
        assert outcome.exit_code == 1
        assert 'the published service certify has this' in outcome.stderr
        assert platform.writes == 1

    def test_platform_down(
        self,
        tmp_path: Path,
        platform: MemoryPlatform,
    ) -> None:
        """Guards against a traceback or a wrong code when it is down."""
        platform.is_down = True
        outcome = _publish(_write_file(tmp_path))
        assert outcome.exit_code == 4
        assert len(outcome.stderr.splitlines()) == 1

    @pytest.mark.parametrize(
        ('version', 'silent', 'code'),
        [(1, False, 0), (0, False, 5), (1, True, 5)],
    )
    def test_wait(
        self,
        tmp_path: Path,
        platform: MemoryPlatform,
        peers: Peers,
        monkeypatch: pytest.MonkeyPatch,
        version: int,
        silent: bool,
        code: int,
    ) -> None:
        """Guards against success before every process has the version."""
        monkeypatch.setattr(
            acknowledgements.wait_until_in_force,
            '__defaults__',
            (0.0,),
        )
        peers.versions = {'certify': version}
        if silent:
            peers.silent.add(SECOND_BALANCER)
        outcome = _publish(_write_file(tmp_path), '--wait', *_BALANCER)
        assert outcome.exit_code == code
        assert ('entry-2' in outcome.stderr) is bool(code)

    def test_wait_for_agent_without_version(self) -> None:
        """Guards against treating an agent without a version as current."""
        member = make_member(1)
        peers = Peers([member])
        peers.versions = {}
        reply = peers.status('certify-1')
        process = process_calls.Process('certify-1', member.rpc, 'certify')
        lagging = acknowledgements.find_lagging
        assert lagging([(process, reply)], {'certify': 1})
        assert not lagging([(process, reply)], {'collect': 1})

    def test_wait_needs_balancer(self, tmp_path: Path) -> None:
        """Guards against accepting options that can't be used.

        These are ``--wait`` without a balancer, and a bad URL.
        """
        assert _publish(_write_file(tmp_path), '--wait').exit_code == 2
        bad_url = _run('publish', 'x', '--platform=x', '--publisher=a')
        assert bad_url.exit_code == 2


class TestStatus:
    """Members and unreachable processes."""

    def test_all_processes(self, peers: Peers) -> None:
        """Guards against omitting an unreachable process silently."""
        peers.silent.add(make_member(2).rpc)
        outcome = _run('status', *_BALANCER, '--all', '--output=json')
        found = json.loads(outcome.stdout)
        assert [each['process'] for each in found['processes']] == [
            'entry-1',
            'entry-2',
            'certify-1',
            'certify-3',
        ]
        assert found['unreachable'][0]['process'] == 'certify/certify-2'
        assert found['processes'][0]['members'][0]['state'] == 'alive'

    def test_text(self, peers: Peers) -> None:
        """Guards against a table without the members' states."""
        peers.members[1] = make_member(2, MemberState.draining)
        outcome = _run('status', *_BALANCER)
        assert 'certify  certify-2  draining  host-2' in outcome.stdout

    def test_order(self, peers: Peers) -> None:
        """Guards against unsorted tables that follow the order of joining."""
        peers.members.reverse()
        outcome = _run('status', *_BALANCER, '--all')
        rows = [line.split() for line in outcome.stdout.splitlines()]
        names = [row[0] for row in rows[1:6]]
        members = [row[1] for row in rows[-3:]]
        agents = ['certify-1', 'certify-2', 'certify-3']
        assert names == ['entry-1', 'entry-2', *agents]
        assert members == agents

    def test_dead_process(self, peers: Peers) -> None:
        """Guards against omitting a dead process."""
        peers.members[1] = make_member(2, MemberState.dead)
        peers.silent.add(make_member(2).rpc)
        outcome = _run('status', *_BALANCER, '--all')
        assert 'certify/certify-2: 127.0.2.2:9002' in outcome.stderr
        assert outcome.exit_code == 0

    def test_unknown_service(self, peers: Peers) -> None:
        """Guards against an empty table for a misspelled service."""
        outcome = _run('status', *_BALANCER, '--service=certfy')
        assert outcome.exit_code == 1
        assert 'no configuration of certfy' in outcome.stderr

    def test_unreachable_balancer(self, peers: Peers) -> None:
        """Guards against an error that does not name the process."""
        outcome = _run('status', '--balancer', '127.0.9.9:1')
        assert outcome.exit_code == 4
        assert '127.0.9.9:1 is unreachable' in outcome.stderr


class TestExplain:
    """The path from a flow or request key to its owner."""

    @pytest.mark.parametrize(
        'subject',
        [('--key', 'receipt-17'), ('--flow', _FLOW)],
    )
    def test_follows_the_owner(
        self,
        peers: Peers,
        subject: tuple[str, str],
    ) -> None:
        """Guards against reporting the table's first choice as the owner."""
        outcome = _run(
            'explain',
            *_BALANCER,
            '--service=certify',
            *subject,
            '--output=json',
        )
        found = json.loads(outcome.stdout)
        assert (found['first'], found['owner']) == ('certify-1', 'certify-2')
        assert found['holder'] == 'certify-3'
        assert len(found['steps']) == 4

    def test_unreachable_owner(self, peers: Peers) -> None:
        """Guards against reporting an owner that did not confirm it."""
        peers.silent.add(make_member(2).rpc)
        arguments = ('--service=certify', '--key=k')
        outcome = _run('explain', *_BALANCER, *arguments)
        assert 'certify-2: 127.0.2.2:9002 is unreachable' in outcome.stdout
        assert 'owner: not known' in outcome.stdout
        assert outcome.exit_code == 4

    def test_unknown_service(self, peers: Peers) -> None:
        """Guards against an explanation for a misspelled service."""
        outcome = _run('explain', *_BALANCER, '--service=certfy', '--key=k')
        assert outcome.exit_code == 1
        assert 'no configuration of certfy' in outcome.stderr

    @pytest.mark.parametrize(
        'subject',
        [(), ('--key=k', f'--flow={_FLOW}'), ('--flow=17,a,1,b,2',)],
    )
    def test_usage(self, peers: Peers, subject: tuple[str, ...]) -> None:
        """Guards against accepting no subject, two, or a malformed flow."""
        arguments = ('--service=certify', *subject)
        assert _run('explain', *_BALANCER, *arguments).exit_code == 2


class TestDrain:
    """Requests to the agent of a target."""

    def test_drain_and_undrain(self, peers: Peers) -> None:
        """Guards against a request for the wrong target or direction."""
        assert _run('drain', 'certify-1', *_BALANCER).exit_code == 0
        assert _run('undrain', 'certify-2', *_BALANCER).exit_code == 0
        assert [each[1:] for each in peers.drains] == [
            ('certify-1', True),
            ('certify-2', False),
        ]

    def test_refused(self, peers: Peers) -> None:
        """Guards against success although the agent refused."""
        outcome = _run('drain', 'certify-3', *_BALANCER)
        assert outcome.exit_code == 1
        assert 'refuses: the last target' in outcome.stderr

    def test_unknown_and_unreachable(self, peers: Peers) -> None:
        """Guards against success for an unknown or unreachable target."""
        assert _run('drain', 'absent', *_BALANCER).exit_code == 1
        peers.silent.add(make_member(1).rpc)
        assert _run('drain', 'certify-1', *_BALANCER).exit_code == 4


class TestTimeline:
    """Events of all processes."""

    def test_order_filter_and_picture(
        self,
        peers: Peers,
        tmp_path: Path,
    ) -> None:
        """Guards against events out of order or of other services."""
        peers.silent.add(SECOND_BALANCER)
        picture = tmp_path / 'timeline.svg'
        outcome = _run(
            'timeline',
            *_BALANCER,
            '--service=certify',
            f'--picture={picture}',
            '--output=json',
        )
        found = json.loads(outcome.stdout)
        assert [each['process'] for each in found['events']] == [
            'certify-1',
            'certify-2',
            'certify-3',
            'entry-1',
        ]
        assert 'entry-2' in outcome.stderr
        assert ElementTree.parse(picture).getroot().tag.endswith('svg')

    def test_dead_process(self, peers: Peers) -> None:
        """Guards against omitting a dead process from the unreachable."""
        peers.members[1] = make_member(2, MemberState.dead)
        peers.silent.add(make_member(2).rpc)
        outcome = _run('timeline', *_BALANCER, '--output=json')
        found = json.loads(outcome.stdout)
        assert [each['process'] for each in found['unreachable']] == [
            'certify/certify-2',
        ]

    def test_no_events(self, peers: Peers) -> None:
        """Guards against empty output without a message."""
        outcome = _run('timeline', *_BALANCER, '--host=absent')
        assert outcome.exit_code == 0
        assert 'no events match' in outcome.stderr

    def test_malformed_flow(self, peers: Peers) -> None:
        """Guards against an empty result for a malformed flow."""
        outcome = _run('timeline', *_BALANCER, '--flow=17,127.0.0.1:4000')
        assert outcome.exit_code == 2


class TestBalancer:
    """Settings of the balancer process."""

    def test_faulty_settings(self, tmp_path: Path) -> None:
        """Guards against a process that starts with faulty settings."""
        path = tmp_path / 'balancer.json'
        path.write_text('{"name": 1}')
        outcome = _run('balancer', f'--settings={path}')
        assert outcome.exit_code == 1
        assert '$.name: expected a string' in outcome.stderr
