"""What an ``explain`` command prints."""

from __future__ import annotations

from attrs import frozen


@frozen
class Explanation:
    """Outcome of an ``explain`` command.

    Parameters
    ----------
    subject
        Name or id that is explained.
    well
        Whether it was found and has no problem; else the tool exits with 1.
    summary
        The explanation in one line.
    details
        Evidence for the summary, one line each.
    """

    subject: str
    well: bool
    summary: str
    details: tuple[str, ...] = ()
