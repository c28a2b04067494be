"""Reports of upstreams on the wire."""

import msgspec


class LoadReport(msgspec.Struct):
    """A load report on the wire."""

    incarnation: str = ""
    age_s: float = 0.0
    queued_tokens: float = 0.0
    queued_interactive_tokens: float = 0.0
    running: int = 0
    leaving: bool = False
    models: dict[str, str] = {}


class CacheEvent(msgspec.Struct):
    """A cache event on the wire."""

    incarnation: str
    sequence: int
    kind: str
    pieces: list[str]
    age_s: float = 0.0


class CacheSnapshot(msgspec.Struct):
    """All cached pieces on the wire."""

    incarnation: str
    sequence: int
    pieces: list[str]
