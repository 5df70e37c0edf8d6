"""Stand-in for the network: TCP relays that delay, block or sever links.

Each route is ``source:target=listen=upstream``. ``PUT /standin`` replaces
the rules, a list of ``{"source", "target", "rule", "delay_s"}``, where the
rule is ``slowed``, ``withheld`` or ``severed`` and applies to the bytes from
source to target; ``GET /standin`` returns the number of forwarded bytes.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

from collections.abc import Iterable  # noqa: E402
from typing import Annotated  # noqa: E402

import typer  # noqa: E402

from cowslipstep_standins._http import (  # noqa: E402
    Environ,
    StartResponse,
    ok,
    read_request,
    send_json,
)
from cowslipstep_standins._http_server import (  # noqa: E402
    exit_on_signals,
    listen,
    serve,
)
from cowslipstep_standins._relay import Relay, Route  # noqa: E402
from cowslipstep_standins._relay_rules import LinkRules  # noqa: E402


def run(
    routes: Annotated[
        list[str], typer.Argument(help='source:target=listen=upstream')
    ],
    control: Annotated[
        str, typer.Option(help='ip:port of control')
    ] = '127.0.0.1:9400',
) -> None:
    """Relay connections until the process ends."""
    exit_on_signals()
    rules = LinkRules()
    for route in map(Route.parse, routes):
        relay = Relay(route, rules)
        eventlet.spawn(relay.run, listen(route.listen))

    def respond(  # noqa: WPS430
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        request = read_request(environ)
        if request.method == 'PUT':
            rules.replace(request.document)
        return send_json(start_response, ok({'passed': rules.passed}))

    serve(listen(control), respond)


def main() -> None:
    """Entry point of ``cowslipstep-relay``."""
    typer.run(run)


if __name__ == '__main__':
    main()
