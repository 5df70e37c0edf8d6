"""Run of a serving daemon from its start to its planned stop."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable

import eventlet
from attrs import evolve
from eventlet.event import Event
from loguru import logger

from cowslipstep.daemon._caller_server import CallerServer, stop_event
from cowslipstep.daemon._tasks import repeat
from cowslipstep.model import CowslipstepError
from cowslipstep.serving._assembly import start_daemon
from cowslipstep.serving._dialects import Dialects
from cowslipstep.serving._evidence_tasks import start_evidence_tasks
from cowslipstep.serving._load_spread_log import (
    LOAD_SPREAD_PERIOD_S,
    log_load_spread,
)
from cowslipstep.serving._state import ServingState
from cowslipstep.settings import ServingSettings
from cowslipstep.tasks import LoopWatch

# The balancer stops sending connections after two failed readiness checks.
_BALANCER_REACTION_S = 2.5
_TASKS_CHECK_PERIOD_S = 1
# Time for which a task may fail again and again until the process ends.
_GIVE_UP_S = 15
# Part of the grace period that is left for the process to exit.
_EXIT_MARGIN_S = 0.7


class TasksBroken(CowslipstepError):
    """A task that serving needs cannot be restarted."""


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
    TasksBroken
        If a task that serving needs cannot be restarted.
    """
    stop = stop_event()
    settings = load_settings()
    state = ServingState(settings, dialects)
    signal.signal(
        signal.SIGHUP,
        lambda _number, _frame: reload_settings(state, load_settings),
    )
    state.process.tasks.start(
        'loop watch',
        LoopWatch(state.process.loop_pauses.record).run,
        essential=False,
    )
    server = start_daemon(state)
    start_evidence_tasks(state)
    state.process.tasks.start(
        'log of the load spread',
        repeat(
            LOAD_SPREAD_PERIOD_S, lambda: log_load_spread(state.load_samples)
        ),
        essential=False,
    )
    state.process.descriptors.log()
    state.process.tasks.start(
        'watch of tasks',
        repeat(_TASKS_CHECK_PERIOD_S, lambda: _end_if_broken(state, stop)),
    )
    stop.wait()
    _stop(server, state)
    if state.process.tasks.broken():
        raise TasksBroken('tasks that serving needs fail again and again')


def reload_settings(
    state: ServingState,
    load_settings: Callable[[], ServingSettings],
) -> None:
    """Apply the bounds of new settings and the limits of the machine.

    Other settings, such as addresses, need a restart. Settings that cannot be
    loaded are logged and ignored.
    """
    try:
        settings = load_settings()
    except (OSError, ValueError) as error:
        logger.warning('settings not reloaded, the old ones stay: {!r}', error)
        return
    state.settings = evolve(
        state.settings,
        bounds=settings.bounds,
        max_sockets=settings.max_sockets,
        memory_bytes=settings.memory_bytes,
    )
    state.process.apply(settings)
    logger.info('settings reloaded')


def _end_if_broken(state: ServingState, stop: Event) -> None:
    """Begin a planned stop if a task stays broken."""
    broken_for_s = state.process.tasks.broken()
    if max(broken_for_s.values(), default=0) < _GIVE_UP_S or stop.ready():
        return
    logger.bind(tasks=sorted(broken_for_s)).error(
        'tasks that serving needs cannot be restarted, the daemon stops'
    )
    stop.send(None)


def _stop(server: CallerServer, state: ServingState) -> None:
    """Drain: finish the requests in progress within the grace period."""
    planned_stop = state.process.planned_stop
    state.stopping = True
    planned_stop.begin(state.settings.bounds.grace_s - _EXIT_MARGIN_S)
    logger.info('planned stop begins')
    eventlet.sleep(_BALANCER_REACTION_S)
    server.close()
    remaining_s = planned_stop.answer_by_s - time.monotonic()
    finished = server.wait_finished(max(0, remaining_s))
    logger.bind(
        finished=finished,
        longest_pause_s=state.process.loop_pauses.longest_s,
    ).info('planned stop ends')
