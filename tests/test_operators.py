"""Steps of the feature on the operators' tool and the report."""

from __future__ import annotations

import time
from typing import Any

import pytest
from attrs import evolve
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep.cli._evening_report._report_input import ReportInput
from cowslipstep.cli._options import connect
from cowslipstep.cli._platform_objects import read_live_daemons, read_statuses
from cowslipstep.cli._stored_configuration import read_stored_configuration
from cowslipstep.metrics import MergedDay, merge_day, utc_day
from cowslipstep.settings import (
    format_configuration,
    parse_configuration,
    parse_json,
    structure_configuration,
)
from cowslipstep_standins._documents import fleet_configuration
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._operator_tool import ToolRun, run_tool
from cowslipstep_standins._outcomes import Outcome
from cowslipstep_standins._plan import FleetShape, workspace_key
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs, service_calls
from cowslipstep_standins.load import mixed_calls, round_robin, send_all

scenarios('operators.feature')

_COUNTING_DELAY_S = 0.5


@pytest.fixture(scope='module', name='operated_fleet')
def operated_fleet_fixture() -> Any:
    """A fleet of two daemons, which write their status each second."""
    shape = FleetShape(daemons=2, services=1, token_s=0.001)
    with local_fleet(shape) as fleet:
        yield fleet


@given('a small fleet for operators', target_fixture='fleet')
def given_fleet(operated_fleet: LocalFleet) -> LocalFleet:
    return operated_fleet


def _client(fleet: LocalFleet) -> Any:
    return connect(fleet.plan.platform)


def _run_tool(fleet: LocalFleet, *arguments: Any) -> ToolRun:
    return run_tool(fleet.plan.platform, *map(str, arguments))


@when(
    parsers.parse('{count:d} requests of all kinds are sent to both daemons'),
    target_fixture='outcomes',
)
def send_mixed(fleet: LocalFleet, count: int) -> list[Outcome]:
    calls = mixed_calls(count, fleet.plan.shape.workspaces, seed=11)
    daemons = [daemon.http for daemon in fleet.plan.daemons]
    return send_all(calls, round_robin(daemons), concurrency=4)


@when('the daemons have written their status', target_fixture='day')
def wait_written(fleet: LocalFleet) -> MergedDay:
    ended_s = time.time() + _COUNTING_DELAY_S
    wait_until(
        lambda: _oldest_write_s(fleet) > ended_s,
        'all daemons have written their status after the last request',
    )
    return _read_day(fleet)


def _oldest_write_s(fleet: LocalFleet) -> float:
    live = read_live_daemons(_client(fleet))
    assert len(live) == len(fleet.plan.daemons)
    written_s = {
        status.daemon: status.written_at_unix_s
        for status in read_statuses(_client(fleet))
    }
    return min(written_s[daemon] for daemon in live)


def _read_day(fleet: LocalFleet) -> MergedDay:
    statuses = read_statuses(_client(fleet))
    newest = max(status.written_at_unix_s for status in statuses)
    return merge_day(utc_day(newest), statuses)


@then('the report counts the responses that the callers received')
def check_responses(
    fleet: LocalFleet, day: MergedDay, outcomes: list[Outcome]
) -> None:
    report_input = ReportInput(day, parse_configuration(_stored_text(fleet)))
    completed = [
        run for run in engine_runs(fleet) if run['outcome'] == 'completed'
    ]
    assert report_input.count_with_verdict('completed') == len(completed)
    for rank in ('urgent', 'background'):
        received = [
            outcome
            for outcome in outcomes
            if outcome.call.rank == rank and not outcome.call.service
        ]
        assert report_input.count_requests(rank=rank) == len(received)


@then('the report counts the orders that the stand-ins ran')
def check_orders(fleet: LocalFleet, day: MergedDay) -> None:
    counted = day.total('service_calls', verdict='completed')
    assert counted == len(service_calls(fleet))


@then('the first line of the printed report starts with yes or no')
def check_first_line(fleet: LocalFleet) -> None:
    report = _run_tool(fleet, 'report')
    first = report.output.splitlines()[0]
    assert first.startswith(('Yes: ', 'No: ')[report.exit_code])


@then('each log line is flat JSON without keys and prompts')
def check_logs(fleet: LocalFleet, outcomes: list[Outcome]) -> None:
    secrets = {workspace_key(name) for name in fleet.plan.shape.workspaces}
    secrets.update(outcome.call.prompt for outcome in outcomes)
    for daemon in fleet.plan.daemons:
        for line in fleet.daemon(daemon.name).log.splitlines():
            assert not any(secret in line for secret in secrets)
            fields = parse_json(line)
            assert fields.keys() >= {'time', 'level', 'message'}
            assert not any(isinstance(entry, dict) for entry in fields.values())


def _stored_text(fleet: LocalFleet) -> str:
    return read_stored_configuration(_client(fleet)).text


def _write(path: Any, fleet: LocalFleet, **changes: Any) -> Any:
    document = fleet_configuration(fleet.plan)
    changed = evolve(structure_configuration(document), **changes)
    path.write_text(format_configuration(changed))
    return path


@when('another operator submits just before mine', target_fixture='run')
def submit_concurrently(fleet: LocalFleet, tmp_path: Any) -> ToolRun:
    version = str(read_stored_configuration(_client(fleet)).version)
    theirs = _write(tmp_path / 'theirs', fleet, key_retention_s=7)
    mine = _write(tmp_path / 'mine', fleet, key_retention_s=8)
    assert _run_tool(fleet, 'submit', theirs).exit_code == 0
    return _run_tool(fleet, 'submit', mine, '--expect-version', version)


@then('my submission ends with exit code 3 and shows the difference')
def check_conflict(run: ToolRun) -> None:
    assert run.exit_code == 3
    assert '$.key_retention_s: 7.0 -> 8.0' in run.output


@when(
    parsers.parse(
        'the responses to the next {count:d} changes of the configuration '
        'are lost',
    ),
)
def lose_responses(fleet: LocalFleet, count: int) -> None:
    faults = {'lose_answers': count, 'lose_kind': 'configuration'}
    fleet.control(fleet.plan.platform, faults)


@then('my submission ends with exit code 0 and is in force at all daemons')
def check_resolved(fleet: LocalFleet, tmp_path: Any) -> None:
    mine = _write(tmp_path / 'mine', fleet, key_retention_s=9)
    run = _run_tool(fleet, 'submit', mine, '--wait')
    assert run.exit_code == 0
    assert '2 of 2 live daemons' in run.output
    assert _stored_text(fleet) == mine.read_text()


@when(
    'a document formatted by the settings library is submitted',
    target_fixture='text',
)
def submit_formatted(fleet: LocalFleet, tmp_path: Any) -> str:
    path = _write(tmp_path / 'printed', fleet, submission_id='one-printing')
    assert _run_tool(fleet, 'submit', path).exit_code == 0
    return str(path.read_text())


@then('the platform stores its text byte for byte')
def check_stored(fleet: LocalFleet, text: str) -> None:
    assert _stored_text(fleet) == text


@when(
    parsers.parse('the tool is run with "{arguments}"'),
    target_fixture='run',
)
def run_with_arguments(fleet: LocalFleet, arguments: str) -> ToolRun:
    return _run_tool(fleet, *arguments.split())


@then(
    parsers.parse('it ends with exit code {code:d} and a line about "{words}"'),
)
def check_line(run: ToolRun, code: int, words: str) -> None:
    assert run.exit_code == code
    assert words in run.output
    assert 'Traceback' not in run.output
