"""Exit codes of the tool and the errors behind them."""

from __future__ import annotations

import enum

from cowslipstep.model import CowslipstepError


class ExitCode(enum.IntEnum):
    """Exit codes, as the help states them."""

    ok = 0
    failed = 1
    wrong_use = 2
    conflict = 3
    unreachable = 4


class NotWell(CowslipstepError):
    """The command worked, and what it found is not well."""


class WrongUse(CowslipstepError):
    """The command was given something that cannot be used."""


class Conflict(CowslipstepError):
    """Someone else has changed the configuration meanwhile."""


class Unreachable(CowslipstepError):
    """The platform or a daemon does not answer."""
