"""Figures that benches print, one JSON line each."""

from __future__ import annotations

import json

from attrs import frozen

_PRINTED_DECIMALS = 6


@frozen
class Figure:
    """One measured figure.

    Parameters
    ----------
    bench
        Name of the bench and of the measured quantity.
    measured
        The measured number.
    unit
        Its unit.
    bound
        Largest allowed value, or the smallest where ``at_least`` is set;
        ``None`` for a figure without a target.
    baseline
        Figure of the same run without the measured mechanism.
    at_least
        Whether the bound is a lower bound.
    """

    bench: str
    measured: float
    unit: str
    bound: float | None = None
    baseline: float | None = None
    at_least: bool = False

    @property
    def ok(self) -> bool:
        """Whether the figure meets its bound."""
        if self.bound is None:
            return True
        if self.at_least:
            return self.measured >= self.bound
        return self.measured <= self.bound

    def render(self) -> str:
        """Return the figure as a JSON line."""
        fields = {
            'bench': self.bench,
            'value': _rounded(self.measured),
            'unit': self.unit,
            'bound': self.bound,
            'baseline': _rounded(self.baseline),
            'ok': self.ok,
        }
        return json.dumps(
            {
                name: entry
                for name, entry in fields.items()
                if entry is not None
            },
        )


def _rounded(number: float | None) -> float | None:
    if number is None:
        return None
    return round(number, _PRINTED_DECIMALS)
