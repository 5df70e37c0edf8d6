"""Commands ``drain`` and ``undrain``."""

from __future__ import annotations

from typing import Annotated

import typer

from cowslipstep.cli._drains import (
    Drain,
    end_drain,
    request_drain,
    wait_until_drained,
)
from cowslipstep.cli._errors import UsageError
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    WaitOption,
    connect,
)
from cowslipstep.cli._output import print_json
from cowslipstep.cli._platform_objects import read_groups
from cowslipstep.cli._stored_configuration import require_configuration
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
    """Drain a host or group: it finishes its work and gets no new work.

    Exit codes: 0 drain requested (with --wait: drained), 1 not drained in
    time, 2 no such host or group, 4 platform does not answer.

    Example: cowslipstep drain ebene-h3 --wait
    """
    client = connect(platform)
    kind = _kind_of(client, target)
    requested = Drain(target, kind)
    request_drain(client, requested)
    if wait:
        requested = wait_until_drained(client, target)
    if as_json:
        print_json(requested)
    else:
        typer.echo(str(requested))


def undrain(
    target: TargetArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    as_json: JsonOption = False,
) -> None:
    """End the drain of a host or group, so that it gets work again.

    Exit codes: 0 drain ended, 1 it was not drained, 4 platform does not
    answer.

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
    raise UsageError(f'no host and no group is named {target!r}')
