"""Planned stop of a daemon, which lets requests in progress finish."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from eventlet import Timeout, sleep, spawn
from loguru import logger

from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.daemon._state import DaemonState

_HOOK_TIMEOUT_S = 5


def stop_as_planned(server: CallerServer, state: DaemonState) -> None:
    """Stop accepting requests, then wait for those in progress.

    The daemon is unready at once, but the load balancer notices that only
    after a delay. Requests that arrive during the delay are served; their
    responses close the connection, so that callers connect to another daemon.
    Requests that arrive later are refused as not run.
    """
    state.stopping = True
    logger.info('planned stop begins')
    hooks = _start_hooks(state.stop_hooks)
    sleep(state.settings.unready_delay_s)
    state.intake_closed = True
    server.close()
    finished = server.wait_finished(state.settings.stop_grace_s)
    hooks.extend(_start_hooks(state.end_hooks))
    for hook in hooks:
        hook.wait()
    logger.bind(finished=finished).info('planned stop ends')


def _start_hooks(hooks: Iterable[Callable[[], None]]) -> list[Any]:
    return [spawn(_run_hook, hook) for hook in hooks]


def _run_hook(hook: Callable[[], None]) -> None:
    try:
        with Timeout(_HOOK_TIMEOUT_S):
            hook()
    except (Exception, Timeout):
        logger.exception('stop hook failed, the planned stop goes on')
