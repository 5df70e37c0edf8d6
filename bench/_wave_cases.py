"""Cases in which demand swings while runners are lost."""

from types import MappingProxyType

from _two_models import ENGINE, OCTET, PAIR
from attrs import evolve

from cowslipstep.fleet.replay import DemandWave, LossCase

# The weight store admits few loads.
_LOAD_LIMITS = MappingProxyType({'loads_per_s': 5, 'loads_at_once': 20})
WAVE_ENGINE = evolve(ENGINE, **_LOAD_LIMITS)
# Demand between half of the fleet and more than all of it.
_SWING = MappingProxyType({'period_s': 13, 'amplitude': 0.45})
_HALF_PERIOD_S = 6.5
_LOSSES = MappingProxyType(
    {
        'domains': 9,
        'length_s': 42,
        'loss_period_s': 2.5,
        'lost_at_once': (2, 3),
    }
)
_MEANS = MappingProxyType({OCTET.name: 11, PAIR.name: 42})
# Crests that need almost twice the fleet.
_HIGH_MEANS = MappingProxyType({OCTET.name: 15, PAIR.name: 48})
WAVE_CASES = MappingProxyType(
    {
        'waves': LossCase(_MEANS, wave=DemandWave(**_SWING), **_LOSSES),
        # The models have their crests in turn, so that the division of the
        # runners is wrong by turns unless it looks at a whole wave.
        'waves_in_turn': LossCase(
            _MEANS,
            wave=DemandWave(**_SWING, lags_s={OCTET.name: _HALF_PERIOD_S}),
            **_LOSSES,
        ),
        'waves_crowded': LossCase(
            _HIGH_MEANS, wave=DemandWave(**_SWING), **_LOSSES
        ),
    }
)
