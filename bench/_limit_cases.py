"""Work of a workspace that has limits, on fleets with nine entry daemons."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from attrs import evolve, frozen

from cowslipstep.model import Rank, Workspace
from cowslipstep.replay import (
    FleetModel,
    Outcome,
    Phase,
    Stream,
    TraceSpec,
    replay,
)

LIMITED = 'hautes-plaines'
END_S = 80
_SEED = 4004
_DRAFTING = 'drafting'
_RECORDS = 'records'
_NORMAL = 'normal'
_PROMPT = 500
_OUTPUT = 100
_TIMEOUT_S = 15
_OVERLOAD = 1.5
_RANKS = (
    Rank('urgent', 1, floor_share=0.1),
    Rank(_NORMAL, 5, floor_share=0.1),
    Rank('background', 60, floor_share=0.1),
)
_ONE_MODEL = MappingProxyType({_DRAFTING: 0.6})
_ALL = Phase(0, END_S, 0)
_TODAY = FleetModel()
_ONE_DOMAIN = (1, 0, 0, 1, 0, 0, 1, 0, 0)
_ONE_ENTRY = (1, 0, 0, 0, 0, 0, 0, 0, 0)


@frozen
class LimitCase:
    """A fleet, the workspace's load by model and the others' load."""

    name: str
    fleet: FleetModel = _TODAY
    loads: Mapping[str, float] = _ONE_MODEL
    others: float = 0.2


_TWO_MODELS = evolve(_TODAY, models=(_DRAFTING, _RECORDS))
LIMIT_CASES = (
    LimitCase('even'),
    LimitCase(
        'entries_of_one_domain', evolve(_TODAY, entry_weights=_ONE_DOMAIN)
    ),
    LimitCase('one_entry', evolve(_TODAY, entry_weights=_ONE_ENTRY)),
    LimitCase('others_fill_the_fleet', others=_OVERLOAD),
    LimitCase('a_domain_dark', evolve(_TODAY, failed_domains=('c',))),
    LimitCase('one_model_of_two', _TWO_MODELS),
    LimitCase('both_models', _TWO_MODELS, {_DRAFTING: 0.3, _RECORDS: 0.3}),
    LimitCase('mostly_one', _TWO_MODELS, {_DRAFTING: 0.6, _RECORDS: 0.01}),
)


def limited_runs(case: LimitCase, limited: Workspace) -> list[Outcome]:
    """Return the requests of the limited workspace that ran."""
    outcomes = replay(_spec(case, limited), fleet=case.fleet)
    return [
        outcome
        for outcome in outcomes
        if outcome.completed and outcome.arrival.workspace == LIMITED
    ]


def _spec(case: LimitCase, limited: Workspace) -> TraceSpec:
    others = {f'inspect-{index}': 1.0 for index in range(8)}
    streams = [
        _stream({LIMITED: 1}, load, model) for model, load in case.loads.items()
    ]
    streams.append(_stream(others, case.others, _DRAFTING))
    return TraceSpec(
        'limits',
        'gridsight',
        _SEED,
        list(_RANKS),
        _ALL,
        streams,
        workspaces=[limited],
    )


def _stream(parts: dict[str, float], load: float, model: str) -> Stream:
    phases = [evolve(_ALL, load=load)]
    return Stream(_NORMAL, parts, _PROMPT, _OUTPUT, _TIMEOUT_S, phases, model)
