"""Options that several commands share."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from cowslipstep.cli._exits import WrongUse
from cowslipstep.model import Address
from cowslipstep.platform import BudgetLimits, PlatformClient, PlatformLimits

PLATFORM_VARIABLE = 'COWSLIPSTEP_PLATFORM'
DEFAULT_PLATFORM = '127.0.0.1:9000'
_READS_PER_S = 1000
_WRITES_PER_S = 20
# A report reads a status of each daemon.
_LIMITS = PlatformLimits(
    BudgetLimits(_READS_PER_S),
    BudgetLimits(_WRITES_PER_S),
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
    typer.Option('--json', help='print one JSON document'),
]
DocumentArgument = Annotated[
    pathlib.Path,
    typer.Argument(metavar='FILE', help='configuration document, JSON'),
]
WaitOption = Annotated[
    bool,
    typer.Option('--wait', help='wait until it is done, with progress'),
]


def connect(platform: str) -> PlatformClient:
    """Return a client of the platform.

    Raises
    ------
    WrongUse
        If the address is not an IP number and a port.
    """
    try:
        return PlatformClient(Address.parse(platform), limits=_LIMITS)
    except ValueError as error:
        raise WrongUse(f'--platform: {error}') from None
