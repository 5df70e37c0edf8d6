"""Load of a workspace that has limits, on fleets with nine entry daemons."""

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

LIMITED_WORKSPACE = 'hautes-plaines'
TRACE_END_S = 80
_SEED = 4004
_DRAFTING_MODEL = 'drafting'
_RECORDS_MODEL = 'records'
_NORMAL_RANK = 'normal'
_PROMPT_TOKENS = 500
_OUTPUT_TOKENS = 100
_TIMEOUT_S = 15
_OVERLOAD_FACTOR = 1.5
_RANKS = (
    Rank('urgent', 1, floor_share=0.1),
    Rank(_NORMAL_RANK, 5, floor_share=0.1),
    Rank('background', 60, floor_share=0.1),
)
_LOAD_OF_ONE_MODEL = MappingProxyType({_DRAFTING_MODEL: 0.6})
_WHOLE_TRACE = Phase(0, TRACE_END_S, 0)
_DEFAULT_FLEET = FleetModel()
_WEIGHTS_OF_ONE_DOMAIN = (1, 0, 0, 1, 0, 0, 1, 0, 0)
_WEIGHTS_OF_ONE_ENTRY = (1, 0, 0, 0, 0, 0, 0, 0, 0)


@frozen
class LimitCase:
    """A fleet, the load of the limited workspace and that of others."""

    name: str
    fleet: FleetModel = _DEFAULT_FLEET
    load_by_model: Mapping[str, float] = _LOAD_OF_ONE_MODEL
    other_load: float = 0.2


_TWO_MODELS = evolve(_DEFAULT_FLEET, models=(_DRAFTING_MODEL, _RECORDS_MODEL))
LIMIT_CASES = (
    LimitCase('even'),
    LimitCase(
        'entries_of_one_domain',
        evolve(_DEFAULT_FLEET, entry_weights=_WEIGHTS_OF_ONE_DOMAIN),
    ),
    LimitCase(
        'one_entry', evolve(_DEFAULT_FLEET, entry_weights=_WEIGHTS_OF_ONE_ENTRY)
    ),
    LimitCase('others_fill_the_fleet', other_load=_OVERLOAD_FACTOR),
    LimitCase('a_domain_dark', evolve(_DEFAULT_FLEET, failed_domains=('c',))),
    LimitCase('one_model_of_two', _TWO_MODELS),
    LimitCase(
        'both_models', _TWO_MODELS, {_DRAFTING_MODEL: 0.3, _RECORDS_MODEL: 0.3}
    ),
    LimitCase(
        'mostly_one', _TWO_MODELS, {_DRAFTING_MODEL: 0.6, _RECORDS_MODEL: 0.01}
    ),
)


def limited_outcomes(case: LimitCase, limited: Workspace) -> list[Outcome]:
    """Return the outcomes of completed requests of the limited workspace."""
    outcomes = replay(_spec(case, limited), fleet=case.fleet)
    return [
        outcome
        for outcome in outcomes
        if outcome.completed and outcome.arrival.workspace == LIMITED_WORKSPACE
    ]


def _spec(case: LimitCase, limited: Workspace) -> TraceSpec:
    others = {f'inspect-{index}': 1.0 for index in range(8)}
    streams = [
        _stream({LIMITED_WORKSPACE: 1}, load, model)
        for model, load in case.load_by_model.items()
    ]
    streams.append(_stream(others, case.other_load, _DRAFTING_MODEL))
    return TraceSpec(
        'limits',
        'gridsight',
        _SEED,
        list(_RANKS),
        _WHOLE_TRACE,
        streams,
        workspaces=[limited],
    )


def _stream(shares: dict[str, float], load: float, model: str) -> Stream:
    phases = [evolve(_WHOLE_TRACE, load=load)]
    return Stream(
        _NORMAL_RANK,
        shares,
        _PROMPT_TOKENS,
        _OUTPUT_TOKENS,
        _TIMEOUT_S,
        phases,
        model,
    )
