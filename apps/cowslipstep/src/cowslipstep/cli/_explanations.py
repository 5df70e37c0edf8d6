"""Why something is as it is."""

from __future__ import annotations

from attrs import frozen


@frozen
class Explanation:
    """Answer of an ``explain`` command.

    Parameters
    ----------
    subject
        What was asked about.
    well
        Whether it is as it should be.
    summary
        The answer in one line.
    details
        What it rests on, one line each.
    """

    subject: str
    well: bool
    summary: str
    details: tuple[str, ...] = ()
