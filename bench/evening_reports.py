"""Writes the evening report of a sample day for each example fleet."""

from __future__ import annotations

import pathlib
import runpy
import sys
from typing import Annotated

import typer
from _sample_plan import load_plan
from _sample_statuses import DAY, sample_statuses

from cowslipstep.cli._evening_report import (
    EveningReport,
    build_report,
    render_html,
    render_text,
)
from cowslipstep.metrics import merge_day

_EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
_FLEETS = ('gridsight', 'tatranske_palicky')


def write_reports(
    folder: Annotated[pathlib.Path, typer.Argument(help='existing folder')],
) -> None:
    """Write the reports as HTML and as text into a folder."""
    for fleet in _FLEETS:
        report = _sample_report(fleet)
        (folder / f'{fleet}.html').write_text(render_html(report))
        text = '\n'.join(render_text(report))
        (folder / f'{fleet}.txt').write_text(f'{text}\n')
        typer.echo(f'{fleet}: {report.first_line}')


def _sample_report(fleet: str) -> EveningReport:
    example = runpy.run_path(str(_EXAMPLES / f'{fleet}.py'))
    configuration = example['configuration']
    statuses = sample_statuses(configuration, load_plan(fleet))
    return build_report(merge_day(DAY, statuses), configuration)


if __name__ == '__main__':
    sys.path.insert(0, str(pathlib.Path(__file__).parent))
    typer.run(write_reports)
