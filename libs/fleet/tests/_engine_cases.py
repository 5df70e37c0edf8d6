"""Engine profiles for tests of the planner and of admission."""

from __future__ import annotations

from cowslipstep.fleet import EngineProfile, ModelProfile


def engine_of(
    *models: ModelProfile,
    loads_per_s: float = 5,
    loads_at_once: int = 7,
) -> EngineProfile:
    return EngineProfile(
        slots=9,
        models=models,
        step_s=0.008,
        sequence_step_s=0.0002,
        prefill_tokens_per_s=45900,
        stride=5,
        loads_per_s=loads_per_s,
        loads_at_once=loads_at_once,
        usual_output_tokens=150,
    )
