"""Log lines and gauges on the spread of the load over leaders."""

from __future__ import annotations

from loguru import logger

from cowslipstep.fleet import ServedModel
from cowslipstep.metrics import Gauges
from cowslipstep.routing.late_loads import LoadSamples
from cowslipstep.serving._load_spread_log import (
    log_load_spread,
    set_load_spread_gauges,
)

SERVED = ServedModel('engines', 'small')


# Operators could not see that some leaders were full while others were idle.
def test_the_spread_is_logged_and_shown() -> None:
    samples = LoadSamples()
    samples.is_due(SERVED, 0)
    samples.add(SERVED, (0, 6), (0.05, 0.2))
    lines: list[dict] = []
    sink = logger.add(lambda line: lines.append(line.record['extra']))
    log_load_spread(samples)
    logger.remove(sink)
    assert lines == [
        {
            'service': 'engines',
            'model': 'small',
            'mean': 3,
            'p99': 6,
            'largest': 6,
            'leaders': 2,
            'report_age_s': 0.125,
            'samples': 1,
        }
    ]
    gauges = Gauges()
    set_load_spread_gauges(gauges, samples)
    labels = 'model="small",service="engines"'
    assert f'cowslipstep_leader_load_p99{{{labels}}} 6' in gauges.render()
