"""Names of the platform's headers, in lower case, and the values of the headers."""

from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import http_client

REQUEST_ID = b"x-request-id"
# The remaining time in milliseconds, not a point in time.
TIME_LEFT_MS = b"x-deadline-ms"
LAST_EVENT_ID = b"last-event-id"
# The id of the attempt of the caller that brought the first event of the stream to resume.
RESUMED_REQUEST = b"resumes"
AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"
CONTENT_ENCODING = b"content-encoding"
KEEP_ALIVE = b"keep-alive"

# The parts of the prompt in order, each as ID:TOKENS. The platform calls the whole list a prefix.
PROMPT_PARTS = b"x-prompt-prefix"
MODEL = b"x-model"
# The number of prompt tokens and the maximum number of output tokens, separated by a comma.
TOKEN_COUNTS = b"x-token-counts"

# A value by which the upstream proves that it ran the request.
EXECUTION_PROOF = b"x-server-stamp"
NOT_RUN = b"x-not-executed"
UPSTREAM = b"x-instance-id"
# An upstream that accepts no new requests sends this header with every answer.
LEAVING = b"server-leaving"
# Requests per second that the upstream accepts from all routers together, as a decimal number.
RATE_LIMIT = b"server-limit"
# Rejections per second, for want of room, beyond which the upstream falls over.
BRITTLE = b"server-brittle"
# The numbers of running requests, waiting requests and slots, and how long work takes in percent of
# the usual, separated by commas.
LOAD = b"x-server-load"
# A single weights version, although the name of the header is in the plural.
WEIGHTS = b"x-weight-versions"

# Number of restores of the store from an older copy. The platform calls this epoch an era.
STORE_EPOCH = b"store-era"

ACCOUNT = b"x-tenant"
# From 0, the most urgent, to 9; upstreams assume 5 if it is absent.
PRIORITY = b"x-request-priority"
EXPECTED_UPSTREAM = b"x-expect-instance"
EXPECTED_WEIGHTS = b"x-expect-version"
# An arbitrary text. Only requests with the same text share cached prompt parts.
CACHE_SCOPE = b"x-cache-salt"

# Address of an upstream or a keep that has parts of the prompt in its cache.
IMPORT_FROM = b"x-kv-fetch"

# Address of the keep to which the upstream exports the parts after it has computed them.
EXPORT_TO = b"x-kv-save"

# Address of the upstream that receives a backup of the run's memory as the memory grows.
BACKUP_TO = b"x-kv-backup"

# Location of the memory that the run continues from: an address and a request id, or an address and
# a handle, separated by a slash.
CONTINUE_FROM = b"kv-from"

_MAX_EPOCH_DIGITS = 9

# Only the router sends these headers to upstreams. Values that come from callers are removed.
ROUTER_ONLY = frozenset(
    (
        ACCOUNT,
        EXPECTED_UPSTREAM,
        EXPECTED_WEIGHTS,
        CACHE_SCOPE,
        TIME_LEFT_MS,
        LAST_EVENT_ID,
        AUTHORIZATION,
        PRIORITY,
        IMPORT_FROM,
        EXPORT_TO,
        b"x-kv-hold",
        BACKUP_TO,
        b"x-pin-ms",
        CONTINUE_FROM,
    )
)


def read_rate_limit(head: http_client.ResponseHead) -> answers.RateLimit | None:
    """Returns the rate limit that an upstream announces in an answer, or None if there is none."""
    values = [value for name, value in head.headers if name == RATE_LIMIT]
    if not values:
        return None
    return answers.RateLimit(
        rate_limits.lowest_rate(b",".join(values).decode("latin-1").split(","))
    )


def read_tolerance(head: http_client.ResponseHead) -> answers.Tolerance | None:
    """Returns the rejections that a brittle upstream bears, or None if it is not brittle."""
    values = [value for name, value in head.headers if name == BRITTLE]
    if not values:
        return None
    return answers.Tolerance(
        rate_limits.lowest_rate(b",".join(values).decode("latin-1").split(","))
    )


def read_epoch(head: http_client.ResponseHead) -> ids.StoreEpoch | None:
    """Returns the epoch that an answer of the store names, or None if it names no valid one."""
    value = head.header(STORE_EPOCH)
    digits = (value or b"").strip()
    if not digits.isdigit() or len(digits) > _MAX_EPOCH_DIGITS:
        return None
    return ids.StoreEpoch(int(digits))


def is_leaving(head: http_client.ResponseHead) -> bool:
    """Returns whether an upstream announces in an answer that it is leaving."""
    value = head.header(LEAVING)
    return value is not None and value.strip() not in (b"", b"0")


def make_incarnation(upstream: ids.UpstreamId, born: int) -> ids.Incarnation:
    """Returns the incarnation of an upstream that started at a time in milliseconds since 1970."""
    return ids.Incarnation(f"{upstream}@{born}")
