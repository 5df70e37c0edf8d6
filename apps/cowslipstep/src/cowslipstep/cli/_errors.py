"""Exit codes of the tool, and the errors that lead to them."""

from __future__ import annotations

import enum

from cowslipstep.model import CowslipstepError


class ExitCode(enum.IntEnum):
    """Exit codes, as the help texts list them."""

    ok = 0
    failed = 1
    usage_error = 2
    conflict = 3
    unreachable = 4


class ProblemFound(CowslipstepError):
    """The command ran, and found a problem in the fleet."""


class UsageError(CowslipstepError):
    """An argument, option or file of the command cannot be used."""


class SubmissionConflict(CowslipstepError):
    """The version in force is not the one that the submission expects."""


class Unreachable(CowslipstepError):
    """The platform or a daemon does not answer."""
