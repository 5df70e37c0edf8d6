"""One attempt of a request, and the one beside it while it is silent."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Generator, Iterator

import eventlet
from attrs import define, field
from eventlet.greenthread import GreenThread
from greenlet import GreenletExit

from cowslipstep.daemon._interruptions import Interruption
from cowslipstep.serving._response_steps import ResponseStep
from cowslipstep.serving._upstream_choice import ChosenUpstream


def _no_steps() -> Generator[ResponseStep, None, None]:
    yield from iter(())


@define
class Attempt:
    """One attempt of a request.

    Attributes
    ----------
    chosen
        Its upstream.
    steps
        The steps of its response, the last of which is its end.
    first_step
        The first step, if it was read before the others.
    is_silent
        Whether its upstream has been silent.
    interruption
        Ends the wait for its upstream once its substitute responds.
    substitute
        Another attempt beside it; ``None`` unless it is silent.
    task
        Reads the first step of a substitute.
    begun_s
        Clock reading at which it began.
    """

    chosen: ChosenUpstream
    steps: Generator[ResponseStep, None, None] = field(factory=_no_steps)
    first_step: ResponseStep | None = None
    is_silent: bool = False
    interruption: Interruption = field(factory=Interruption)
    substitute: Attempt | None = None
    task: GreenThread | None = None
    begun_s: float = field(factory=time.monotonic)

    def all_steps(self) -> Iterator[ResponseStep]:
        """Yield all steps."""
        if self.first_step is not None:
            yield self.first_step
        yield from self.steps

    def read_first_step(self) -> None:
        """Read the first step, in the task that begins the attempt."""
        # An error that ended the task would be kept, with all its frames.
        with contextlib.suppress(GreenletExit):
            self.first_step = next(self.steps)

    def wait_begun(self, lead_s: float) -> None:
        """Wait for a substitute's first step, that long after its beginning."""
        if self.task is None:
            return
        wait_s = max(0, self.begun_s + lead_s - time.monotonic())
        with eventlet.Timeout(wait_s, False):
            self.task.wait()

    def take_substitute(self) -> Attempt | None:
        """Return the substitute in place of this attempt, if it responds.

        Waits until its response begins, or fails.
        """
        if self.substitute is not None and self.substitute.task is not None:
            self.substitute.task.wait()
        substitute = self.substitute
        self.substitute = None
        return substitute

    def close(self) -> None:
        """End the attempt, whether or not its response has begun."""
        if self.task is not None:
            self.task.kill()
        self.steps.close()
