"""Runs the operators' tool as an operator would."""

from __future__ import annotations

import os
import subprocess
import sys

from attrs import frozen

_TIMEOUT_S = 60


@frozen
class ToolRun:
    """How a run of the tool ended and what it printed."""

    code: int
    text: str

    @property
    def first_line(self) -> str:
        """The first line that it printed."""
        return self.text.partition('\n')[0]


def run_tool(platform: str, *arguments: str) -> ToolRun:
    """Run the tool against a platform and wait for its end."""
    command = [sys.executable, '-W', 'ignore', '-m', 'cowslipstep.cli']
    ended = subprocess.run(
        [*command, *arguments],
        env={**os.environ, 'COWSLIPSTEP_PLATFORM': platform},
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
    )
    return ToolRun(ended.returncode, f'{ended.stdout}{ended.stderr}')
