"""Check of the heads that the server writes to callers.

The server writes names and values as they are, so that a line end within one
would begin another field, or the body.
"""

from __future__ import annotations

import re
from typing import Any

from cowslipstep.daemon._http import Header, StartResponse
from cowslipstep.platform import check_field

_FINAL_STATUS = re.compile(r'[2-5][0-9]{2} [\t\x20-\x7e]*')


def with_checked_head(start_response: StartResponse) -> StartResponse:
    """Return a ``start_response`` that writes only valid heads.

    It raises ``ValueError`` on an invalid status or field, and writes nothing.
    """

    def start_checked(  # noqa: WPS430
        status: str, headers: list[Header]
    ) -> Any:
        if _FINAL_STATUS.fullmatch(status) is None:
            raise ValueError(f'expected a final status, got {status!r}')
        for name, text in headers:
            check_field(name, text)
        return start_response(status, headers)

    return start_checked
