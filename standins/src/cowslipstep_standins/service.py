"""Stand-in for a plain service that keeps orders.

``POST /orders`` adds an order and may not be repeated; ``GET /orders/<n>``
reads one; ``GET /status`` may be repeated. ``GET/PUT /standin`` reads the
records and sets faults: ``delay_s``, ``cut_before_run``, ``cut_after_run``,
``fail_after_run`` (numbers of calls to come), ``refuse`` (bool).
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

from typing import Annotated  # noqa: E402

import typer  # noqa: E402

from cowslipstep_standins._serving import (  # noqa: E402
    exit_on_signals,
    listen,
    serve,
)
from cowslipstep_standins._service_api import ServiceApi  # noqa: E402


def run(
    address: Annotated[str, typer.Option(help='ip:port')] = '127.0.0.1:9300',
) -> None:
    """Serve until ended."""
    exit_on_signals()
    serve(listen(address), ServiceApi())


def main() -> None:
    """Entry point of ``cowslipstep-service``."""
    typer.run(run)


if __name__ == '__main__':
    main()
