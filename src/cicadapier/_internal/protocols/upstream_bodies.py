"""JSON bodies of the reports of upstreams."""

import msgspec


class LoadReport(msgspec.Struct):
    """A load report."""

    incarnation: str = ""
    age_s: float = 0.0
    queued_tokens: float = 0.0
    queued_interactive_tokens: float = 0.0
    running: int = 0
    leaving: bool = False
    models: dict[str, str] = {}


class CacheEvent(msgspec.Struct):
    """A change of the cached pieces of an upstream."""

    incarnation: str
    sequence: int
    kind: str
    pieces: list[str]
    age_s: float = 0.0


class CacheSnapshot(msgspec.Struct):
    """All cached pieces of an upstream."""

    incarnation: str
    sequence: int
    pieces: list[str]
