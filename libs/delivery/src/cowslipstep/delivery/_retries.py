"""Whether a failed request may be tried again."""

from __future__ import annotations

from cowslipstep.model import Completed, MayHaveRun, NotRun, Verdict


def may_retry(
    verdict: Verdict, *, idempotent: bool, response_begun: bool
) -> bool:
    """Say whether another try cannot run a request twice unasked.

    Parameters
    ----------
    verdict
        Verdict of the failed try.
    idempotent
        Whether the request may run more than once.
    response_begun
        Whether the caller has received a part of the answer.

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
    """Say whether a stream that was cut may be opened again.

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
    """Return the verdict over two tries of one request.

    A request has not run only if none of its tries may have run it.

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
    """Return the verdict of an order refused before its key was looked up.

    An earlier send may have run the order, unless the caller says that
    this is its first one.

    Examples
    --------
    >>> from cowslipstep.model import Reason
    >>> verdict_before_lookup(
    ...     NotRun(Reason.platform_down), first_send=False
    ... ).code
    'may_have_run'
    """
    if first_send:
        return refusal
    return MayHaveRun(refusal.reason)
