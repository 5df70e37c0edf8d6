"""Log lines and gauges on the spread of the load over the leaders."""

from __future__ import annotations

from loguru import logger

from cowslipstep.metrics import CounterKey, Gauges
from cowslipstep.routing.late_loads import LoadSamples, LoadSpread

LOAD_SPREAD_PERIOD_S = 5
_DECIMALS = 3


def log_load_spread(samples: LoadSamples) -> None:
    """Log the spread of each model since the last call."""
    for served, spread in samples.finish_period().items():
        logger.bind(
            service=served.service,
            model=served.model,
            mean=round(spread.mean, _DECIMALS),
            p99=spread.high,
            largest=spread.largest,
            leaders=spread.leaders,
            report_age_s=round(spread.report_age_s, _DECIMALS),
            samples=spread.samples,
        ).info('load over the leaders of a model')


def set_load_spread_gauges(gauges: Gauges, samples: LoadSamples) -> None:
    """Set the spread of each model in the last period."""
    for served, spread in samples.spreads.items():
        labels = (('model', served.model), ('service', served.service))
        for name, reading in _readings(spread).items():
            gauges.set(CounterKey(name, labels), reading)


def _readings(spread: LoadSpread) -> dict[str, float]:
    return {
        'leader_load_mean': spread.mean,
        'leader_load_p99': spread.high,
        'leader_load_largest': spread.largest,
        'leader_load_leaders': spread.leaders,
        'leader_load_report_age_s': spread.report_age_s,
    }
