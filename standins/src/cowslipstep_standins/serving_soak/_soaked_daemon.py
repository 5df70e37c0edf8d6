"""One daemon of a soak, whose process comes and goes."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import time

from attrs import define, field

from cowslipstep_standins._processes import LocalProcess

_DAEMON_MODULE = 'cowslipstep_standins.serving_soak.daemon'


@define
class SoakedDaemon:
    """One daemon, whose process comes and goes.

    Attributes
    ----------
    name
        Its name.
    port
        Where it serves callers.
    ended_s
        Clock readings at which its process was told to end or killed.
    """

    name: str
    port: int
    settings: pathlib.Path
    started: list[LocalProcess]
    process: LocalProcess | None = None
    ended_s: list[float] = field(factory=list)

    def start(self) -> None:
        """Start its process, unless it runs or is about to end."""
        if self.process is not None and self.process.running:
            return
        log = self.settings.with_suffix('.log')
        self.process = LocalProcess(_DAEMON_MODULE, [str(self.settings)], log)
        self.started.append(self.process)

    def end(self, *, planned: bool) -> None:
        """End its process, if it runs."""
        self.ended_s.append(time.monotonic())
        self._signal(signal.SIGTERM if planned else signal.SIGKILL)

    def reload(self) -> None:
        """Tell its process that its settings have changed."""
        self._signal(signal.SIGHUP)

    def _signal(self, number: int) -> None:
        if self.process is not None and self.process.running:
            os.kill(self.process.pid, number)


def new_daemon(
    path: pathlib.Path, ports: list[int], started: list[LocalProcess]
) -> SoakedDaemon:
    """Return a daemon with three of the ports; the store has the first one."""
    own = [ports.pop() for _ in range(3)]
    document = {'name': path.stem, 'ports': [*own, ports[0]]}
    path.write_text(json.dumps(document))
    return SoakedDaemon(path.stem, own[0], path, started)
