"""Stand-in for a plain service that stores orders.

``POST /orders`` adds an order and is not idempotent; ``GET /orders/<n>``
reads one, and ``GET /status`` is idempotent. ``GET /standin`` returns the
records; ``PUT /standin`` sets the faults ``delay_s``, ``refuse`` (bool),
and ``cut_before_run``, ``cut_after_run``, ``fail_after_run`` (number of
next calls that fail).
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

from typing import Annotated  # noqa: E402

import typer  # noqa: E402

from cowslipstep_standins._http_server import (  # noqa: E402
    exit_on_signals,
    listen,
    serve,
)
from cowslipstep_standins._service_api import ServiceApi  # noqa: E402


def run(
    address: Annotated[str, typer.Option(help='ip:port')] = '127.0.0.1:9300',
) -> None:
    """Serve orders until the process ends."""
    exit_on_signals()
    serve(listen(address), ServiceApi())


def main() -> None:
    """Entry point of ``cowslipstep-service``."""
    typer.run(run)


if __name__ == '__main__':
    main()
