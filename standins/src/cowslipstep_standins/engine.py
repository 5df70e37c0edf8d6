"""Stand-in for engines: a process that answers for one or several hosts.

Each host has an address of its own. Orders assign hosts to a group, whose
first member takes OpenAI-style completions. Calls: ``/v1/completions``,
``/v1/chat/completions``, ``GET /health``, ``POST /orders``, ``GET
/cache-events`` and ``GET /load``, both a second late; ``GET/PUT /standin``
reads the records and sets faults.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

from typing import Annotated, Any  # noqa: E402

import typer  # noqa: E402

from cowslipstep_standins._batch import Batch  # noqa: E402
from cowslipstep_standins._engine_api import EngineApi  # noqa: E402
from cowslipstep_standins._engine_host import (  # noqa: E402
    EngineHost,
    HostSettings,
)
from cowslipstep_standins._serving import (  # noqa: E402
    exit_on_signals,
    listen,
    serve,
)

_TOKEN_S = 0.002


def run(
    hosts: Annotated[list[str], typer.Argument(help='name=ip:port')],
    slots: Annotated[int, typer.Option(help='requests run at once')] = 8,
    token_s: Annotated[float, typer.Option(help='between tokens')] = _TOKEN_S,
    load_s: Annotated[float, typer.Option(help='to load weights')] = 0,
    *,
    fencing: Annotated[bool, typer.Option(help='refuse old orders')] = True,
) -> None:
    """Serve the calls of all hosts until ended; durations in seconds."""
    exit_on_signals()
    known: dict[str, EngineHost] = {}
    servers = [
        _start(entry, known, HostSettings(fencing, slots, token_s, load_s))
        for entry in hosts
    ]
    for server in servers:
        server.wait()


def _start(
    entry: str,
    known: dict[str, EngineHost],
    settings: HostSettings,
) -> Any:
    name, _, address = entry.partition('=')
    known[name] = EngineHost(name, settings, Batch(settings.slots))
    api = EngineApi(known[name], known)
    return eventlet.spawn(serve, listen(address), api)


def main() -> None:
    """Entry point of ``cowslipstep-engine``."""
    typer.run(run)


if __name__ == '__main__':
    main()
