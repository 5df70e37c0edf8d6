"""The evening report says yes or no for the right reason."""

from __future__ import annotations

import re
from xml.dom import minidom

import pytest
from attrs import evolve

from cowslipstep.cli._evening_report import (
    EveningReport,
    build_report,
    render_html,
    render_text,
)
from cowslipstep.metrics import (
    CounterKey,
    Counters,
    DaemonIdentity,
    Event,
    Histograms,
    Series,
    TimeSlotAmount,
    TimeSlotCount,
    TimeSlotKey,
    Status,
    merge_day,
)
from cowslipstep.operator import (
    build_configuration,
    model,
    rank,
    runners,
    targets,
    workspace,
)

_DAY = '1970-01-01'
_HOUR_S = 3600
_LARGE = 'large-firm'
_SMALL = 'small-firm'
_WIDTHS = ('wide', 'narrow')
_PLOTS_AND_CHARTS = 3
_CONFIGURATION = build_configuration(
    ranks=[
        rank('urgent', target_first_token_s=1, floor_share=0.2),
        rank('background', target_first_token_s=60, floor_share=0.2),
    ],
    workspaces=[workspace(_LARGE), workspace(_SMALL), workspace('third')],
    models=[model('drafting', groups=2, hosts_per_group=1)],
    runners=runners('ebene', ['10.0.0.1:80', '10.0.0.2:80']),
)


class _Figures:
    """Collects figures of one daemon on one day."""

    def __init__(self) -> None:
        self.counters = Counters()
        self.histograms = Histograms()

    def answered(self, name: str, count: int, first_token_s: float) -> None:
        """Add answered urgent requests of a workspace."""
        self.ended(name, count, 'completed')
        series = Series('first_token', name, 'urgent')
        for _ in range(count):
            self.histograms.record(series, first_token_s)

    def ended(self, name: str, count: int, verdict: str) -> None:
        """Add urgent requests of a workspace that ended with a verdict."""
        labels = (
            ('workspace', name),
            ('rank', 'urgent'),
            ('verdict', verdict),
        )
        self.counters.add(CounterKey('requests', labels), count)

    def status(self) -> Status:
        """Return the status of a daemon with these figures."""
        return Status(
            DaemonIdentity('d0', 1, 'ebene', '127.0.0.1:80'),
            _DAY,
            since_unix_s=0,
            written_at_unix_s=_HOUR_S,
            period_s=60,
            counters=self.counters.samples,
            histograms=tuple(self.histograms.encode_each()),
        )


def _text(figures: _Figures) -> str:
    return '\n'.join(render_text(_report(figures.status())))


def _missed(figures: _Figures) -> list[str]:
    return [measure.name for measure in _report(figures.status()).missed]


def _report(*statuses: Status) -> EveningReport:
    return build_report(merge_day(_DAY, statuses), _CONFIGURATION)


@pytest.fixture(name='figures')
def figures_fixture() -> _Figures:
    """A day on which all went well."""
    figures = _Figures()
    figures.answered(_LARGE, 90, first_token_s=0.1)
    figures.answered(_SMALL, 5, first_token_s=0.1)
    figures.answered('third', 5, first_token_s=0.1)
    return figures


def test_a_day_that_went_well(figures: _Figures) -> None:
    report = _report(figures.status())
    assert (
        report.first_line == 'Yes: all targets were reached, with 100 requests'
    )
    assert report.well


def test_a_day_without_statuses() -> None:
    assert _report().first_line == f'No: no daemon wrote a status on {_DAY}'


def test_slow_small_workspaces_miss_their_target(figures: _Figures) -> None:
    figures.answered(_SMALL, 4, first_token_s=2)
    report = _report(figures.status())
    assert report.first_line.startswith('No: small workspaces: urgent answers')
    assert '71.43% (large ones: 100%)' in report.first_line
    assert 'Answers begun in time, by workspace' in render_html(report)


def test_uncertain_outcomes_are_missed(figures: _Figures) -> None:
    figures.ended(_LARGE, 1, 'may_have_run')
    assert _missed(figures) == ['completions with uncertain outcome']


def test_group_downtime_is_missed(figures: _Figures) -> None:
    key = CounterKey('group_down_ms', (('model', 'drafting'),))
    figures.counters.add(key, 2 * _HOUR_S * 1000 // 10)
    watched = CounterKey('group_watched_ms', key.labels)
    figures.counters.add(watched, 2 * _HOUR_S * 1000)
    report = _report(figures.status())
    assert report.first_line.startswith(
        'No: groups of drafting serving: 90% of the time, 12 min down',
    )


def test_unwatched_time_of_groups_is_shown(figures: _Figures) -> None:
    watched = CounterKey('group_watched_ms', (('model', 'drafting'),))
    figures.counters.add(watched, _HOUR_S * 1000)
    text = _text(figures)
    assert '100% of the time, 0 ms down, 60 min not watched' in text


@pytest.mark.parametrize(('completed', 'well'), [(1, False), (40, True)])
def test_floods_are_listed_and_floors_checked(
    figures: _Figures, completed: int, well: bool
) -> None:
    timeline = (
        _slot('urgent', 'completed', 100),
        _slot('urgent', 'not_run', 900),
        _slot('background', 'completed', completed),
        _slot('background', 'not_run', 5),
    )
    report = _report(_in_slots(figures, timeline))
    assert report.well == well
    text = '\n'.join(render_text(report))
    assert 'floods: 01:00 to 01:05 urgent' in text
    assert '01:00 to 01:05 urgent  background' in text
    assert ('background at 01:00' in report.first_line) != well


def test_a_single_refusal_is_not_a_missed_floor(figures: _Figures) -> None:
    timeline = (
        _slot('urgent', 'completed', 100),
        _slot('urgent', 'not_run', 900),
        _slot('background', 'completed', 20),
        _slot('background', 'not_run', 1),
    )
    report = _report(_in_slots(figures, timeline))
    assert report.well


def test_consecutive_slots_are_one_flood(figures: _Figures) -> None:
    timeline = tuple(
        TimeSlotCount(TimeSlotKey(slot, 'urgent', verdict), 50)
        for slot in (12, 13, 14, 20)
        for verdict in ('completed', 'not_run')
    )
    report = _report(_in_slots(figures, timeline))
    assert 'floods: 01:00 to 01:15 urgent, 01:40 to 01:45 urgent' in (
        report.summary
    )


def test_refused_small_workspaces_miss_a_target(
    figures: _Figures,
) -> None:
    figures.ended(_SMALL, 5, 'not_run')
    report = _report(figures.status())
    assert (
        report.missed[-1].name == 'small workspaces: urgent requests answered'
    )
    assert report.missed[-1].figure == '66.67% (large ones: 100%)'


@pytest.mark.parametrize('name', ['requests', 'service_calls', 'orders'])
def test_hung_up_callers_are_not_uncertain(
    figures: _Figures,
    name: str,
) -> None:
    verdict = ('verdict', 'may_have_run')
    for counted in ('requests', 'service_calls', 'orders'):
        figures.counters.add(CounterKey(counted, (verdict,)))
        if counted != name:
            labels = (('of', counted), verdict)
            figures.counters.add(CounterKey('hangups', labels))
    report = _report(figures.status())
    counted = [one.figure for one in report.missed if 'uncertain' in one.name]
    assert len(counted) == 1
    assert counted[0].endswith('(1, besides 0 hung up)')


def test_missed_targets_are_in_order_of_priority(figures: _Figures) -> None:
    figures.ended(_SMALL, 20, 'not_run')
    for name in ('orders', 'requests'):
        labels = (('verdict', 'may_have_run'),)
        figures.counters.add(CounterKey(name, labels))
    down = (('model', 'drafting'),)
    for key in ('group_down_ms', 'group_watched_ms'):
        figures.counters.add(CounterKey(key, down), 1000)
    assert _missed(figures) == [
        'urgent requests answered',
        'completions with uncertain outcome',
        'orders with uncertain outcome',
        'small workspaces: urgent requests answered',
        'groups of drafting serving',
    ]


def test_small_workspaces_are_measured_by_rank(figures: _Figures) -> None:
    flood = (('workspace', _LARGE), ('rank', 'background'))
    verdict = ('verdict', 'not_run')
    figures.counters.add(CounterKey('requests', (*flood, verdict)), 900)
    figures.ended(_SMALL, 1, 'not_run')
    assert _missed(figures) == ['small workspaces: urgent requests answered']


def test_targets_are_taken_from_the_configuration(figures: _Figures) -> None:
    figures.ended(_LARGE, 2, 'not_run')
    strict = evolve(
        _CONFIGURATION,
        targets=targets(urgent_answered_share=0.99),
    )
    day = merge_day(_DAY, [figures.status()])
    assert build_report(day, _CONFIGURATION).well
    assert not build_report(day, strict).well


def test_downtime_is_drawn_in_its_slot(figures: _Figures) -> None:
    downtime = (TimeSlotAmount(12, 'drafting', 300000),)
    report = _report(evolve(figures.status(), downtime=downtime))
    plots = [plot for section in report.sections for plot in section.plots]
    curve = plots[-1].curves[0].figures
    assert curve[12] == 1
    assert sum(curve) == 1


def test_floors_are_shares_of_tokens(figures: _Figures) -> None:
    timeline = (
        _slot('urgent', 'completed', 100),
        _slot('urgent', 'not_run', 900),
        _slot('background', 'completed', 40),
        _slot('background', 'not_run', 5),
    )
    status = _in_slots(figures, timeline)
    many = TimeSlotAmount(12, 'urgent', 900)
    tokens = (*status.answered_tokens, many)
    report = _report(evolve(status, answered_tokens=tokens))
    assert [measure.figure for measure in report.missed] == [
        'background at 01:00',
    ]


def _in_slots(
    figures: _Figures,
    timeline: tuple[TimeSlotCount, ...],
) -> Status:
    """Return a status with counts in slots, one token for each response."""
    tokens = tuple(
        TimeSlotAmount(entry.key.slot, entry.key.rank, entry.count)
        for entry in timeline
        if entry.key.verdict == 'completed'
    )
    return evolve(
        figures.status(),
        timeline=timeline,
        answered_tokens=tokens,
    )


def _slot(rank_name: str, verdict: str, count: int) -> TimeSlotCount:
    return TimeSlotCount(TimeSlotKey(12, rank_name, verdict), count)


def test_a_daemon_that_fell_silent_is_an_incident(figures: _Figures) -> None:
    lost = evolve(
        figures.status(),
        daemon=DaemonIdentity('d1', 1, 'ebene', '127.0.0.1:81'),
        written_at_unix_s=600,
        events=(Event('lease_taken', 'ebene', 'it had <lapsed>', 300),),
    )
    report = _report(figures.status(), lost)
    text = '\n'.join(render_text(report))
    assert re.search('00:05:00 +lease_taken +ebene', text)
    assert re.search('00:10:00 +daemon_silent +d1', text)


def test_html_is_well_formed_and_escaped(
    figures: _Figures,
) -> None:
    events = (Event('lease_taken', 'ebene', 'it had <lapsed>', 300),)
    report = _report(evolve(figures.status(), events=events))
    html = render_html(report)
    assert '&lt;lapsed&gt;' in html
    assert 'Answers begun in time, by workspace' not in html
    drawings = re.findall('<svg.*?</svg>', html, re.DOTALL)
    assert len(drawings) == len(_WIDTHS) * _PLOTS_AND_CHARTS
    for drawing in drawings:
        assert minidom.parseString(drawing).documentElement
    assert 'src=' not in html and 'href=' not in html
