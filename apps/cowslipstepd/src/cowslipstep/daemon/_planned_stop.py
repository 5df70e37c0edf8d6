"""Planned stop of a daemon: no request in progress is cut off."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from eventlet import Timeout, sleep, spawn
from loguru import logger

from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.daemon._state import DaemonState

_HOOK_TIMEOUT_S = 5


def stop_as_planned(server: CallerServer, state: DaemonState) -> None:
    """End intake after the balancer's delay, then finish what is left.

    Requests that come during the delay are served; each answer asks its
    caller to close the connection. Later ones are refused as not run.
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
        logger.exception('stop hook failed')
