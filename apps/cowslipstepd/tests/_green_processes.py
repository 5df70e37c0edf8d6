"""Calls functions of tests in processes with green threads."""

from __future__ import annotations

import inspect
import os
import pathlib
import pickle  # noqa: S403
import subprocess  # noqa: S404
import sys
from collections.abc import Callable
from typing import Any

_PROCESS_TIMEOUT_S = 100
_CHILD = """
import eventlet
eventlet.monkey_patch()
import importlib, pickle, sys
sys.path[:0] = sys.argv[3:]
function = getattr(importlib.import_module(sys.argv[1]), sys.argv[2])
arguments = pickle.load(sys.stdin.buffer)
sys.stdout.buffer.write(pickle.dumps(function(*arguments)))
"""


def in_green_process(function: Callable[..., Any], *arguments: Any) -> Any:
    """Call a function of a test module in a process with green threads.

    Its arguments and what it returns are pickled.
    """
    source = pathlib.Path(inspect.getfile(function))
    command = [
        sys.executable,
        '-W',
        'ignore',
        '-c',
        _CHILD,
        source.stem,
        function.__name__,
        str(source.parent),
        *sys.path,
    ]
    ran = subprocess.run(  # noqa: S603
        command,
        input=pickle.dumps(arguments),
        stdout=subprocess.PIPE,
        env={**os.environ, 'LOGURU_LEVEL': 'WARNING'},
        check=True,
        timeout=_PROCESS_TIMEOUT_S,
    )
    return pickle.loads(ran.stdout)  # noqa: S301
