"""Commands ``drain`` and ``undrain``."""

from __future__ import annotations

from typing import Annotated

import typer

from cowslipstep.cli._drains import (
    Drain,
    ask_drain,
    end_drain,
    wait_drained,
)
from cowslipstep.cli._exits import WrongUse
from cowslipstep.cli._fleet import read_groups
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    WaitOption,
    connect,
)
from cowslipstep.cli._output import print_json
from cowslipstep.cli._store import require_configuration
from cowslipstep.platform import PlatformClient

TargetArgument = Annotated[
    str,
    typer.Argument(metavar='HOST_OR_GROUP', help='name of a host or group'),
]


def drain(
    target: TargetArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    wait: WaitOption = False,
    as_json: JsonOption = False,
) -> None:
    """Let a host or group finish its work and take no new work.

    Exit codes: 0 asked (with --wait: drained), 1 not drained in time, 2 no
    such host or group, 4 platform does not answer.

    Example: cowslipstep drain ebene-h3 --wait
    """
    client = connect(platform)
    kind = _kind_of(client, target)
    asked = Drain(target, kind)
    ask_drain(client, asked)
    if wait:
        asked = wait_drained(client, target)
    if as_json:
        print_json(asked)
    else:
        typer.echo(str(asked))


def undrain(
    target: TargetArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    as_json: JsonOption = False,
) -> None:
    """Let a drained host or group take work again.

    Exit codes: 0 ended, 1 it was not drained, 4 platform does not answer.

    Example: cowslipstep undrain ebene-h3
    """
    end_drain(connect(platform), target)
    if as_json:
        print_json({'target': target, 'state': 'ended'})
    else:
        typer.echo(f'drain of {target} ended')


def _kind_of(platform: PlatformClient, target: str) -> str:
    configuration = require_configuration(platform)
    if any(runner.host == target for runner in configuration.runners):
        return 'host'
    if any(group.name == target for group in read_groups(platform)):
        return 'group'
    raise WrongUse(f'no host and no group is named {target!r}')
