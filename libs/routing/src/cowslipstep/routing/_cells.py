"""Choice of the cell that serves a request."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipstep.model import Cell


def order_cells(
    cells: Iterable[Cell],
    model: str,
    failure_domain: str,
) -> tuple[Cell, ...]:
    """Order the cells of a model, those of the own failure domain first.

    Examples
    --------
    >>> cells = [Cell('m', 'a'), Cell('m', 'b')]
    >>> order_cells(cells, 'm', 'b')[0].failure_domain
    'b'
    """
    fitting = sorted(cell for cell in cells if cell.model == model)
    return tuple(
        sorted(
            fitting,
            key=lambda cell: cell.failure_domain != failure_domain,
        ),
    )
