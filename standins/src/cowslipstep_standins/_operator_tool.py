"""Runs the operators' command line in a process."""

from __future__ import annotations

import os
import subprocess
import sys

from attrs import frozen

_RUN_TIMEOUT_S = 60


@frozen
class ToolRun:
    """Exit code and output of a run of the tool."""

    exit_code: int
    output: str

    @property
    def first_line(self) -> str:
        """First line of the output."""
        return self.output.partition('\n')[0]


def run_tool(platform: str, *arguments: str) -> ToolRun:
    """Run the tool against a platform and wait until it ends."""
    command = [sys.executable, '-W', 'ignore', '-m', 'cowslipstep.cli']
    ended = subprocess.run(
        [*command, *arguments],
        env={**os.environ, 'COWSLIPSTEP_PLATFORM': platform},
        capture_output=True,
        text=True,
        timeout=_RUN_TIMEOUT_S,
    )
    return ToolRun(ended.returncode, f'{ended.stdout}{ended.stderr}')
