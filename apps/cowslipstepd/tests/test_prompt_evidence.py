"""Daemons share what they know of harmful prompts by the platform."""

from __future__ import annotations

import itertools
from typing import Any

import pytest
from attrs import define, field

from cowslipstep.fleet import CallerRequest
from cowslipstep.model import Reason
from cowslipstep.platform import (
    KindChanges,
    ObjectChange,
    ObjectKey,
    ObjectPage,
    StoredObject,
    VersionConflict,
)
from cowslipstep.serving._evidence_tasks import EvidenceWriter
from cowslipstep.serving._harmful_prompts import HarmfulPrompts
from cowslipstep.serving._prompt_evidence import EVIDENCE_KIND


@define
class Store:
    """Objects of one kind, and the daemons that watch them."""

    observers: list[HarmfulPrompts] = field(factory=list)
    stored: dict[ObjectKey, StoredObject] = field(factory=dict)
    revision: int = 0

    def daemon(self) -> HarmfulPrompts:
        """Return a daemon that has just started."""
        prompts = HarmfulPrompts()
        page = ObjectPage(tuple(self.stored.values()), '', self.revision)
        prompts.evidence.replace(page)
        self.observers.append(prompts)
        return prompts

    @property
    def sound_parts(self) -> int:
        """Number of parts that are known to be sound."""
        return sum(key.name.startswith('sound-') for key in self.stored)

    def create(self, key: ObjectKey, body: str) -> int:
        """Create an object."""
        if key in self.stored:
            raise VersionConflict('expected no such object, one exists')
        return self.update(key, 0, body)

    def update(self, key: ObjectKey, _version: int, body: str) -> int:
        """Replace an object and tell the daemons."""
        self.revision += 1
        stored = StoredObject(key, self.revision, body)
        self.stored[key] = stored
        change = ObjectChange(stored, removed=False)
        for prompts in self.observers:
            prompts.evidence.apply(KindChanges((change,), self.revision))
        return self.revision


def request(number: int, *parts: str) -> CallerRequest:
    return CallerRequest(
        f'r{number}', 'host', 'POST', '/', (), b'', shared_prompt_parts=parts
    )


# A runner that has ended is back under another name.
_RUNNERS = itertools.count()
FAILED = (
    request(1, 'greeting', 'harmful'),
    request(2, 'letter', 'harmful'),
    request(3, 'poem', 'harmful'),
)
FAILED_WITH_GREETING = (
    request(1, 'greeting', 'harmful'),
    request(1, 'greeting', 'harmful'),
    request(2, 'greeting', 'harmful'),
)


def fail(store: Any, prompts: HarmfulPrompts, failed: CallerRequest) -> None:
    prompts.record_failure(failed, f'runner-{next(_RUNNERS)}')
    EvidenceWriter(store, prompts).write_failure()


def refuses(prompts: HarmfulPrompts, *parts: str) -> bool:
    refusal = prompts.refusal(request(0, *parts))
    return refusal is not None and refusal.reason is Reason.harmful_prompt


def test_failures_at_other_daemons_count() -> None:
    # Each daemon alone saw too few of the failures.
    store = Store()
    running = store.daemon()
    for failed in FAILED:
        fail(store, store.daemon(), failed)
    for prompts in (running, store.daemon()):
        assert refuses(prompts, 'other', 'harmful')
        assert not refuses(prompts, 'greeting', 'letter')


def test_sound_part_is_cleared_at_all_daemons() -> None:
    store: Any = Store()
    first, second = store.daemon(), store.daemon()
    for failed in FAILED_WITH_GREETING:
        fail(store, first, failed)
    assert not refuses(second, 'other', 'harmful')
    for prompts in (first, second):
        prompts.clear(request(9, 'greeting', 'letter'))
        if prompts.sound_parts_to_write.qsize():
            EvidenceWriter(store, prompts).write_sound_part()
    assert store.sound_parts == 1
    for prompts in (first, second, store.daemon()):
        assert refuses(prompts, 'other', 'harmful')
        assert not refuses(prompts, 'greeting', 'letter')


@pytest.mark.parametrize(
    'body',
    [
        'null',
        '{}',
        '7',
        '{"parts": 1, "request": "r", "recordedAt": 0}',
        '{"parts": ["x"], "request": "r", "recordedAt": "x"}',
        '{{"recordedAt": {0}}}'.format('9' * 400),
        '{{"sound": {0}'.format('[' * 100000),
    ],
)
def test_invalid_evidence_is_ignored(body: str) -> None:
    store = Store()
    prompts = store.daemon()
    store.create(ObjectKey(EVIDENCE_KIND, 'odd'), body)
    for number in range(3):
        fail(store, prompts, request(number, 'x'))
    assert refuses(prompts, 'x')
