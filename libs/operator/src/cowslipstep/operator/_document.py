"""Building, validating and printing of a whole configuration."""

from __future__ import annotations

import sys
import uuid
from typing import Any

from attrs import evolve

from cowslipstep.model import Configuration
from cowslipstep.settings import (
    format_configuration,
    structure_configuration,
    unstructure,
)


def build_configuration(**sections: Any) -> Configuration:
    """Return a validated configuration.

    Parameters
    ----------
    **sections
        The fields of ``Configuration``: ``ranks``, ``workspaces``,
        ``models``, ``runners``, ``services`` and so on.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake, with its JSON path.

    Examples
    --------
    >>> from cowslipstep.operator import rank
    >>> built = build_configuration(
    ...     ranks=[rank('urgent', target_first_token_s=1)],
    ... )
    >>> built.ranks[0].name
    'urgent'
    """
    return structure_configuration(
        {name: unstructure(section) for name, section in sections.items()},
    )


def print_configuration(
    configuration: Configuration,
    submission_id: str | None = None,
) -> None:
    """Print a configuration as JSON text that can be submitted.

    Parameters
    ----------
    configuration
        The configuration to print.
    submission_id
        Identifies this submission, so that a repeated one is recognized; by
        default a new random id.
    """
    identified = evolve(
        configuration,
        submission_id=submission_id or str(uuid.uuid4()),
    )
    sys.stdout.write(format_configuration(identified))
