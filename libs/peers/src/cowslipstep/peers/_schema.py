"""The Cap'n Proto schema of the messages, loaded on import."""

from __future__ import annotations

import pathlib
from typing import Any

import capnp

capnp.remove_import_hook()

_SCHEMA_PATH = pathlib.Path(__file__).with_name('peer.capnp')

SCHEMA: Any = capnp.load(str(_SCHEMA_PATH))
