"""Stand-in for engines: a process that simulates one or several hosts.

Each host has its own address. Commands (``POST /orders``) assign hosts to a
group, whose leader accepts OpenAI-style requests to ``/v1/completions`` and
``/v1/chat/completions``. ``GET /health`` returns the state of the host;
``GET /cache-events`` and ``GET /load`` return data of one second ago.
``GET /standin`` returns the records of the host, and ``PUT /standin`` sets
its faults.
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
from cowslipstep_standins._http_server import (  # noqa: E402
    exit_on_signals,
    listen,
    serve,
)

_TOKEN_S = 0.002


def run(
    hosts: Annotated[list[str], typer.Argument(help='name=ip:port')],
    slots: Annotated[int, typer.Option(help='requests that run at once')] = 8,
    token_s: Annotated[
        float, typer.Option(help='seconds between tokens')
    ] = _TOKEN_S,
    load_s: Annotated[float, typer.Option(help='seconds to load weights')] = 0,
    *,
    fencing: Annotated[
        bool, typer.Option(help='refuse old fencing tokens')
    ] = True,
) -> None:
    """Serve the calls of all hosts until the process ends."""
    exit_on_signals()
    hosts_by_name: dict[str, EngineHost] = {}
    servers = [
        _start(
            entry, hosts_by_name, HostSettings(fencing, slots, token_s, load_s)
        )
        for entry in hosts
    ]
    for server in servers:
        server.wait()


def _start(
    entry: str,
    hosts_by_name: dict[str, EngineHost],
    settings: HostSettings,
) -> Any:
    name, _, address = entry.partition('=')
    hosts_by_name[name] = EngineHost(name, settings, Batch(settings.slots))
    api = EngineApi(hosts_by_name[name], hosts_by_name)
    return eventlet.spawn(serve, listen(address), api)


def main() -> None:
    """Entry point of ``cowslipstep-engine``."""
    typer.run(run)


if __name__ == '__main__':
    main()
