"""Prompts that end every runner that begins to respond to them."""

from __future__ import annotations

import pytest
from _green_processes import in_green_process
from _scripted_runners import (
    Close,
    Reset,
    Script,
    ScriptedRunners,
    Send,
    event,
    response_head,
)
from _serving_harness import STREAM, Harness

EVENT_STREAM = 'Content-Type: text/event-stream'
OPEN_HEAD = response_head(EVENT_STREAM)
LENGTH_HEAD = response_head(EVENT_STREAM, 'Content-Length: 900')
CHUNKED_HEAD = response_head(EVENT_STREAM, 'Transfer-Encoding: chunked')
WHOLE = (Send(OPEN_HEAD + event(0)), Close())
HARMFUL = 'greeting harmful'
SOUND = 'greeting letter'
_RUNNERS = 30


def ended_runners(script: Script) -> tuple[int, list[int]]:
    """Return how many runners ended, and the statuses of sound requests."""
    runners = ScriptedRunners(_RUNNERS, WHOLE, harmful_script=script)
    harness = Harness(runners, runners)
    caller = harness.connect()
    sound = []
    for _ in range(10):
        caller.exchange(STREAM, HARMFUL)
        sound.append(caller.exchange(STREAM, SOUND).status)
    return sum(b'harmful' in head for head in runners.heads), sound


# Without a head, a runner that ended was not told from others of its batch.
@pytest.mark.parametrize('head', [b'', OPEN_HEAD, LENGTH_HEAD, CHUNKED_HEAD])
@pytest.mark.parametrize('end', [Close(), Reset()], ids=['close', 'reset'])
def test_harmful_prompt_ends_few_runners(
    head: bytes, end: Close | Reset
) -> None:
    # Retries and callers took such prompts to one runner after the other.
    ended, sound = in_green_process(ended_runners, (Send(head), end))
    assert ended <= 4
    assert set(sound) == {200}
