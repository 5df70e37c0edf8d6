"""Stand-in for the network: relays that tests cut, hold up and slow down.

Each route is ``source:target=listen=upstream``. ``PUT /standin`` replaces
the rules, a list of ``{"source", "target", "rule", "delay_s"}``, where the
rule is ``slowed``, ``withheld`` or ``severed`` and holds for bytes from
source to target; ``GET /standin`` counts the bytes that passed.
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
from cowslipstep_standins._relay import Relay, Route  # noqa: E402
from cowslipstep_standins._relay_rules import LinkRules  # noqa: E402
from cowslipstep_standins._serving import (  # noqa: E402
    exit_on_signals,
    listen,
    serve,
)


def run(
    routes: Annotated[list[str], typer.Argument(help='source:target=at=to')],
    control: Annotated[str, typer.Option(help='ip:port')] = '127.0.0.1:9400',
) -> None:
    """Relay until ended."""
    exit_on_signals()
    rules = LinkRules()
    for route in map(Route.parse, routes):
        relay = Relay(route, rules)
        eventlet.spawn(relay.run, listen(route.listen))

    def answer(  # noqa: WPS430
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        request = read_request(environ)
        if request.method == 'PUT':
            rules.replace(request.document)
        return send_json(start_response, ok({'passed': rules.passed}))

    serve(listen(control), answer)


def main() -> None:
    """Entry point of ``cowslipstep-relay``."""
    typer.run(run)


if __name__ == '__main__':
    main()
