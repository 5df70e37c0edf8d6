"""Why a request was refused, or why its outcome is uncertain."""

from __future__ import annotations

import datetime

from cowslipstep.cli._explanations import Explanation
from cowslipstep.cli._platform_objects import read_statuses
from cowslipstep.metrics import RequestRecord
from cowslipstep.platform import PlatformClient


def explain_request(platform: PlatformClient, request_id: str) -> Explanation:
    """Look up a request in the status objects of all daemons.

    Raises
    ------
    PlatformUnavailable
        If the platform does not answer.
    """
    for status in read_statuses(platform):
        for entry in status.requests:
            if entry.request_id == request_id:
                return _describe(entry, status.daemon.name)
    return Explanation(
        request_id,
        well=False,
        summary=f'request {request_id} is not among the last refused or '
        'uncertain ones; it was answered, or is older, or its daemon has '
        "not written its status since; search the daemons' logs for the id",
    )


def _describe(entry: RequestRecord, daemon: str) -> Explanation:
    meaning = 'was not run'
    if entry.verdict == 'may_have_run':
        meaning = 'may have run, its response did not reach the caller'
    rank = entry.rank or 'none'
    moment = datetime.datetime.fromtimestamp(entry.at_unix_s, datetime.UTC)
    moment_text = moment.isoformat(timespec='seconds')
    return Explanation(
        entry.request_id,
        well=True,
        summary=f'request {entry.request_id} {meaning}: {entry.reason}',
        details=(
            f'workspace {entry.workspace}, rank {rank}',
            f'daemon {daemon}, {moment_text}',
        ),
    )
