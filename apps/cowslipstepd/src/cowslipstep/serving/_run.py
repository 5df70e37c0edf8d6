"""Run of a serving daemon from its start to its planned stop."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable

import eventlet
from attrs import evolve
from loguru import logger

from cowslipstep.daemon._caller_server import CallerServer, stop_event
from cowslipstep.daemon._tasks import start_task
from cowslipstep.serving._assembly import start_daemon
from cowslipstep.serving._dialects import Dialects
from cowslipstep.serving._evidence_tasks import start_evidence_tasks
from cowslipstep.serving._state import ServingState
from cowslipstep.settings import ServingSettings
from cowslipstep.tasks import LoopWatch

# The balancer stops sending connections after two failed readiness checks.
_BALANCER_REACTION_S = 2.5
# Part of the grace period that is left for the process to exit.
_EXIT_MARGIN_S = 0.7


def run_serving_daemon(
    load_settings: Callable[[], ServingSettings],
    dialects: Dialects,
) -> None:
    """Run a daemon until a planned stop has ended.

    Parameters
    ----------
    load_settings
        Loads the settings, at the start and on SIGHUP; raises
        ``ValueError`` or ``OSError`` if it cannot.
    dialects
        Encodings of the deployment.

    Raises
    ------
    ListenError
        If an address is in use.
    """
    stop = stop_event()
    settings = load_settings()
    state = ServingState(settings, dialects)
    signal.signal(
        signal.SIGHUP,
        lambda _number, _frame: reload_settings(state, load_settings),
    )
    start_task('loop watch', LoopWatch(state.loop_pauses.record).run)
    server = start_daemon(state)
    start_evidence_tasks(state)
    stop.wait()
    _stop(server, state)


def reload_settings(
    state: ServingState,
    load_settings: Callable[[], ServingSettings],
) -> None:
    """Apply the bounds of new settings.

    Other settings, such as addresses, need a restart. Settings that cannot be
    loaded are logged and ignored.
    """
    try:
        settings = load_settings()
    except (OSError, ValueError) as error:
        logger.warning('settings not reloaded, the old ones stay: {!r}', error)
        return
    state.settings = evolve(state.settings, bounds=settings.bounds)
    logger.info('settings reloaded')


def _stop(server: CallerServer, state: ServingState) -> None:
    """Drain: finish the requests in progress within the grace period."""
    started_s = time.monotonic()
    state.stopping = True
    logger.info('planned stop begins')
    eventlet.sleep(_BALANCER_REACTION_S)
    server.close()
    elapsed_s = time.monotonic() - started_s
    grace_s = state.settings.bounds.grace_s - _EXIT_MARGIN_S
    finished = server.wait_finished(max(0, grace_s - elapsed_s))
    logger.bind(
        finished=finished,
        longest_pause_s=state.loop_pauses.longest_s,
    ).info('planned stop ends')
