"""Stand-in for the platform's object API: a process that stores objects.

Calls: ``GET/POST/PUT/DELETE /objects/<kind>/<name>``, ``GET
/objects/<kind>``, a watch by ``?after=<version>&wait_s=<seconds>``, and
``GET/PUT /hosts`` for the list of live and leaving hosts. ``PUT /standin``
sets the faults; ``GET /standin`` returns the counts of calls.
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
from cowslipstep_standins._platform_api import PlatformApi  # noqa: E402


def run(
    address: Annotated[str, typer.Option(help='ip:port')] = '127.0.0.1:9000',
) -> None:
    """Serve the object API until the process ends."""
    exit_on_signals()
    serve(listen(address), PlatformApi())


def main() -> None:
    """Entry point of ``cowslipstep-platform``."""
    typer.run(run)


if __name__ == '__main__':
    main()
