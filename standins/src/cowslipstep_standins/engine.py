"""Stand-in for engines: a process that answers for one or several hosts.

Each host has an address of its own. Orders assign hosts to a group, whose
first member takes OpenAI-style completions. Calls: ``/v1/completions``,
``/v1/chat/completions``, ``GET /health``, ``POST /orders``, ``GET
/cache-events``; ``GET/PUT /standin`` reads the records and sets faults.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import typer  # noqa: E402

from cowslipstep_standins._batch import Batch  # noqa: E402
from cowslipstep_standins._engine_api import EngineApi  # noqa: E402
from cowslipstep_standins._engine_host import EngineHost  # noqa: E402
from cowslipstep_standins._http import (  # noqa: E402
    exit_on_signals,
    listen,
    serve,
)


def run(
    hosts: list[str] = typer.Argument(help='name=ip:port, one for each host'),
    slots: int = typer.Option(8, help='requests that run at once'),
    token_s: float = typer.Option(0.002, help='seconds between tokens'),
    load_s: float = typer.Option(0, help='seconds to load weights'),
    fencing: bool = typer.Option(True, help='refuse old fencing numbers'),
) -> None:
    """Serve the calls of all hosts until ended."""
    exit_on_signals()
    known: dict[str, EngineHost] = {}
    servers = []
    for entry in hosts:
        name, _, address = entry.partition('=')
        host = EngineHost(name, fencing, Batch(slots), load_s, token_s)
        known[name] = host
        servers.append(
            eventlet.spawn(serve, listen(address), EngineApi(host, known)),
        )
    for server in servers:
        server.wait()


def main() -> None:
    """Entry point of ``cowslipstep-engine``."""
    typer.run(run)


if __name__ == '__main__':
    main()
