"""Reads the load that an upstream states with an answer, figure by figure.

The figures are the numbers of requests running and waiting, the number of slots, and how long work
takes on the upstream's machine at present, in percent of the usual. Upstreams may send only the
first of them, and later ones may be added. A figure that cannot be true is left out; the others
are used.
"""

import re

from cicadapier._internal.protocols import answers

MAX_REQUESTS = 1_000_000  # More requests at one upstream cannot be true.
MAX_PERCENT = 1_000_000.0
MAX_QUOTED_CHARACTERS = 64
_USUAL_FIGURES = 3  # Upstreams that state fewer are reported in the log.
_COUNT = re.compile(rb"[0-9]{1,7}")
_PERCENT = re.compile(rb"[0-9]{1,7}(\.[0-9]{1,6})?")


def parse_load(raw: bytes | None) -> answers.ReportedLoad | None:
    """Returns the load that a header states.

    Args:
        raw: Value of the header; None if there is none.

    Returns:
        The load, with None for each figure that is missing or cannot be true; None without a
        header.
    """
    if raw is None:
        return None
    figures = [figure.strip() for figure in raw.split(b",", 4)[:4]]
    running, waiting, slots, percent = (*figures, None, None, None)[:4]
    load = answers.ReportedLoad(
        _parse_count(running),
        _parse_count(waiting),
        _parse_slots(slots),
        _parse_slowness(percent),
    )
    read = (load.running, load.waiting, load.slots, load.slowness)
    if None not in read[: max(_USUAL_FIGURES, len(figures))]:
        return load
    quoted = raw[:MAX_QUOTED_CHARACTERS].decode("latin-1")
    return answers.ReportedLoad(*read, is_odd=True, quoted=quoted)


def _parse_count(raw: bytes | None) -> int | None:
    if raw is None or not _COUNT.fullmatch(raw):
        return None
    count = int(raw)
    return count if count <= MAX_REQUESTS else None


def _parse_slots(raw: bytes | None) -> int | None:
    """Returns a number of slots; None for 0, as an upstream without slots serves nothing."""
    count = _parse_count(raw)
    return None if count == 0 else count


def _parse_slowness(raw: bytes | None) -> float | None:
    if raw is None or not _PERCENT.fullmatch(raw):
        return None
    percent = float(raw)
    return percent / 100 if 0 < percent <= MAX_PERCENT else None
