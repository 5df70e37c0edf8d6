"""Serving daemon with plain encodings; its argument is its settings file."""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import sys  # noqa: E402

from loguru import logger  # noqa: E402

from cowslipstep.serving import run_serving_daemon  # noqa: E402
from cowslipstep_standins.serving_soak import _plain_settings  # noqa: E402


def main() -> None:
    """Run a daemon until it is stopped."""
    logger.remove()
    logger.add(sys.stdout, format='{time} {message} {extra}', level='INFO')
    run_serving_daemon(
        lambda: _plain_settings.load_settings(sys.argv[1]),
        _plain_settings.DIALECTS,
    )


if __name__ == '__main__':
    main()
