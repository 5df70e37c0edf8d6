"""Two models on one service, groups of eight and of two runners."""

from types import MappingProxyType

from cowslipstep.fleet import EngineProfile, ModelProfile

_OCTET_TIMES = MappingProxyType({'load_s': 16, 'staged_load_s': 1.6})
_PAIR_TIMES = MappingProxyType({'load_s': 12, 'staged_load_s': 1.1})
OCTET = ModelProfile('octet', 8, **_OCTET_TIMES)
PAIR = ModelProfile('pair', 2, **_PAIR_TIMES)
DEMAND = MappingProxyType({OCTET.name: 14.5, PAIR.name: 59})
_ENGINE_LIMITS = MappingProxyType(
    {
        'slots': 8,
        'step_s': 0.0078,
        'sequence_step_s': 0.00018,
        'prefill_tokens_per_s': 45900,
        'stride': 6,
        'loads_per_s': 18,
        'loads_at_once': 27,
        'usual_output_tokens': 150,
    }
)
ENGINE = EngineProfile(models=(OCTET, PAIR), **_ENGINE_LIMITS)
