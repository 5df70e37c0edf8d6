"""Command ``submit``."""

from __future__ import annotations

import time
from typing import Annotated

import typer
from attrs import frozen

from cowslipstep.cli._daemons import query_daemons
from cowslipstep.cli._documents import read_document
from cowslipstep.cli._errors import ProblemFound
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    DocumentArgument,
    JsonOption,
    PlatformOption,
    WaitOption,
    connect,
)
from cowslipstep.cli._output import print_json, progress_line
from cowslipstep.cli._platform_objects import read_live_daemons
from cowslipstep.cli._submission import SubmittedVersion, submit_document
from cowslipstep.metrics import DaemonIdentity
from cowslipstep.platform import PlatformClient, PlatformUnavailable

_WAIT_TIMEOUT_S = 60
_POLL_PERIOD_S = 0.3

ExpectedVersion = Annotated[
    int | None,
    typer.Option(
        '--expect-version',
        help='submit only if this version is in force',
    ),
]


@frozen
class _RolloutProgress:
    """How many live daemons have a version of the configuration in force."""

    version: int
    daemons: int
    lagging: tuple[str, ...]

    @property
    def complete(self) -> bool:
        return self.daemons > 0 and not self.lagging

    def __str__(self) -> str:
        current = self.daemons - len(self.lagging)
        missing = ', '.join(self.lagging) or 'none'
        return (
            f'version {self.version}: {current} of {self.daemons} live '
            f'daemons; waiting for: {missing}'
        )


def submit(
    document: DocumentArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    expect_version: ExpectedVersion = None,
    *,
    wait: WaitOption = False,
    as_json: JsonOption = False,
) -> None:
    """Put a configuration document in force.

    The update is conditional on the version that is read first: of two
    operators who submit at once, one succeeds and the other gets a conflict
    with the differences. Submitting the same file again is safe. Exit codes:
    0 in force, 1 not in force at all daemons in time (with --wait),
    2 invalid document, 3 conflict, 4 platform does not answer.

    Example: cowslipstep submit fleet.json --wait
    """
    checked = read_document(document)
    client = connect(platform)
    submitted = submit_document(client, checked, expect_version)
    if as_json:
        print_json(submitted)
    else:
        typer.echo(_describe(submitted))
    if wait:
        wait_until_in_force(client, submitted.version)


def wait_until_in_force(platform: PlatformClient, version: int) -> None:
    """Wait until all live daemons have a version or a newer one in force.

    Raises
    ------
    ProblemFound
        If that takes longer than a minute.
    """
    end_s = time.monotonic() + _WAIT_TIMEOUT_S
    with progress_line() as progress:
        daemons = read_live_daemons(platform)
        while time.monotonic() < end_s:
            daemons = _live_daemons(platform, daemons)
            rollout = _read_rollout(daemons, version)
            progress.show(str(rollout))
            if rollout.complete:
                return
            time.sleep(_POLL_PERIOD_S)
    raise ProblemFound(f'not in force everywhere: {rollout}')


def _live_daemons(
    platform: PlatformClient,
    known: tuple[DaemonIdentity, ...],
) -> tuple[DaemonIdentity, ...]:
    """Return the live daemons; those known before if the platform is down."""
    try:
        return read_live_daemons(platform)
    except PlatformUnavailable:
        return known


def _read_rollout(
    daemons: tuple[DaemonIdentity, ...], version: int
) -> _RolloutProgress:
    states = query_daemons(daemons)
    lagging = [state.name for state in states if state.version < version]
    return _RolloutProgress(version, len(states), tuple(lagging))


def _describe(submitted: SubmittedVersion) -> str:
    if submitted.changed:
        return f'submitted version {submitted.version}'
    return f'already in force as version {submitted.version}'
