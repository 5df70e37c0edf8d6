"""Command ``submit``."""

from __future__ import annotations

import time
from typing import Annotated

import typer
from attrs import frozen

from cowslipstep.cli._daemons import view_daemons
from cowslipstep.cli._documents import read_document
from cowslipstep.cli._exits import NotWell
from cowslipstep.cli._fleet import read_live
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    DocumentArgument,
    JsonOption,
    PlatformOption,
    WaitOption,
    connect,
)
from cowslipstep.cli._output import print_json, progress_line
from cowslipstep.cli._submission import Submitted, submit_document
from cowslipstep.metrics import DaemonIdentity
from cowslipstep.platform import PlatformClient, PlatformUnavailable

_WAIT_TIMEOUT_S = 60
_POLL_S = 0.3

ExpectedVersion = Annotated[
    int | None,
    typer.Option(
        '--expect-version',
        help='submit only if this version is in force',
    ),
]


@frozen
class _Spread:
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

    The update is conditional on the version that is read first, so that of
    two operators one wins and the other sees the difference. Submitting the
    same file again after a lost answer does no harm. Exit codes: 0 in force,
    1 not in force at all daemons in time (with --wait), 2 wrong document,
    3 conflict, 4 platform does not answer.

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
        wait_in_force(client, submitted.version)


def wait_in_force(platform: PlatformClient, version: int) -> None:
    """Wait until all live daemons have a version or a newer one in force.

    Raises
    ------
    NotWell
        If that takes too long.
    """
    end_s = time.monotonic() + _WAIT_TIMEOUT_S
    with progress_line() as progress:
        daemons = read_live(platform)
        while time.monotonic() < end_s:
            daemons = _live_now(platform, daemons)
            spread = _look(daemons, version)
            progress.show(str(spread))
            if spread.complete:
                return
            time.sleep(_POLL_S)
    raise NotWell(f'not in force everywhere: {spread}')


def _live_now(
    platform: PlatformClient,
    known: tuple[DaemonIdentity, ...],
) -> tuple[DaemonIdentity, ...]:
    """Read which daemons are live; in an outage, those known before."""
    try:
        return read_live(platform)
    except PlatformUnavailable:
        return known


def _look(daemons: tuple[DaemonIdentity, ...], version: int) -> _Spread:
    views = view_daemons(daemons)
    lagging = [view.name for view in views if view.version < version]
    return _Spread(version, len(views), tuple(lagging))


def _describe(submitted: Submitted) -> str:
    if submitted.changed:
        return f'submitted version {submitted.version}'
    return f'already in force as version {submitted.version}'
