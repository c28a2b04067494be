"""How much longer a slow upstream may be silent before a second attempt is made elsewhere.

Load pattern: an upstream whose machine is slow for the moment answers late and is well. A second
attempt adds work to the pool just when part of it is slow, and counts as a failure of the upstream.
"""

# The answer is late for its caller by then, whatever the reason of the silence.
MAX_PATIENCE = 2.0


def factor(slowness: float) -> float:
    """Returns the factor for the time of silence that is allowed.

    Args:
        slowness: How long work takes at the upstream; 1.0 as usual. A fast upstream is not hedged
            against earlier, because its speed may be that of a moment.
    """
    return min(MAX_PATIENCE, max(1.0, slowness))
