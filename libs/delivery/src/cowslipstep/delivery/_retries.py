"""Rules for retries, resumption and the verdict over several attempts."""

from __future__ import annotations

from cowslipstep.model import Completed, MayHaveRun, NotRun, Verdict


def may_retry(
    verdict: Verdict, *, idempotent: bool, response_begun: bool
) -> bool:
    """Return whether a failed request may be retried.

    A retry must not run a non-idempotent request twice, and must not follow
    a response that has begun.

    Parameters
    ----------
    verdict
        Verdict of the failed attempt.
    idempotent
        Whether the request may run more than once.
    response_begun
        Whether the caller has received a part of the response.

    Examples
    --------
    >>> from cowslipstep.model import Reason
    >>> cut = MayHaveRun(Reason.upstream_cut)
    >>> may_retry(cut, idempotent=False, response_begun=False)
    False
    """
    match verdict:
        case Completed():
            return False
        case NotRun():
            return not response_begun
        case MayHaveRun():
            return idempotent and not response_begun


def may_resume(verdict: Verdict, *, idempotent: bool) -> bool:
    """Return whether an interrupted stream may be requested again.

    Examples
    --------
    >>> from cowslipstep.model import Reason
    >>> may_resume(MayHaveRun(Reason.upstream_cut), idempotent=True)
    True
    """
    match verdict:
        case Completed():
            return False
        case NotRun() | MayHaveRun():
            return idempotent


def combine_verdicts(
    earlier: NotRun | MayHaveRun | None,
    latest: NotRun | MayHaveRun,
) -> NotRun | MayHaveRun:
    """Return the verdict on a request from those of its failed attempts.

    A request has not run only if none of its attempts may have run it.

    Examples
    --------
    >>> from cowslipstep.model import Reason
    >>> cut = MayHaveRun(Reason.upstream_cut)
    >>> combine_verdicts(cut, NotRun(Reason.no_capacity)) == cut
    True
    """
    match earlier, latest:
        case MayHaveRun(), NotRun():
            return earlier  # type: ignore[return-value]
    return latest


def verdict_before_lookup(
    refusal: NotRun,
    *,
    first_send: bool,
) -> NotRun | MayHaveRun:
    """Return the verdict on an order refused before its ledger lookup.

    Without the lookup the daemon cannot exclude that the order ran when the
    caller sent it before, unless the caller states that this is the first
    time.

    Examples
    --------
    >>> from cowslipstep.model import Reason
    >>> down = NotRun(Reason.platform_down)
    >>> verdict_before_lookup(down, first_send=False).code
    'may_have_run'
    """
    if first_send:
        return refusal
    return MayHaveRun(refusal.reason)
