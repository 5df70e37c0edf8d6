"""Arguments and options that several commands share."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from cowslipstep.cli._errors import UsageError
from cowslipstep.model import Address
from cowslipstep.platform import BudgetLimits, PlatformClient, PlatformLimits

PLATFORM_VARIABLE = 'COWSLIPSTEP_PLATFORM'
DEFAULT_PLATFORM = '127.0.0.1:9000'
_MAX_PLATFORM_READS_PER_S = 1000
_MAX_PLATFORM_WRITES_PER_S = 20
# The limit on reads is high since a report reads a status of each daemon.
_LIMITS = PlatformLimits(
    BudgetLimits(_MAX_PLATFORM_READS_PER_S),
    BudgetLimits(_MAX_PLATFORM_WRITES_PER_S),
)

PlatformOption = Annotated[
    str,
    typer.Option(
        '--platform',
        envvar=PLATFORM_VARIABLE,
        metavar='IP:PORT',
        help="address of the platform's object API",
    ),
]
JsonOption = Annotated[
    bool,
    typer.Option('--json', help='print one JSON document instead of text'),
]
DocumentArgument = Annotated[
    pathlib.Path,
    typer.Argument(metavar='FILE', help='configuration document in JSON'),
]
WaitOption = Annotated[
    bool,
    typer.Option('--wait', help='show progress and wait until it is done'),
]


def connect(platform: str) -> PlatformClient:
    """Return a client of the platform at an address.

    Raises
    ------
    UsageError
        If the address is not an IP address and a port.
    """
    try:
        return PlatformClient(Address.parse(platform), limits=_LIMITS)
    except ValueError as error:
        raise UsageError(f'--platform: {error}') from None
