"""Log lines on responses that end before they are complete."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from loguru import logger

from cowslipstep.daemon._hangup import CallerGone
from cowslipstep.model import RequestError


@contextlib.contextmanager
def logged_response_end(request_id: str) -> Iterator[None]:
    """Log why a response ends before it is complete."""
    bound = logger.bind(request_id=request_id)
    try:
        yield
    except CallerGone:
        bound.info('caller closed the connection, response ended')
        raise
    except RequestError as error:
        bound.bind(
            verdict=error.verdict.code,
            reason=error.verdict.reason.value,
        ).warning(
            'response cut off, connection to the caller closed: {}', error
        )
        raise
    except Exception:
        bound.exception(
            'unexpected error, response cut off (may have run), '
            'connection to the caller closed'
        )
        raise
