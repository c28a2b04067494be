"""Names of the platform's headers, in lower case, and what they hold."""

from cicadapier._internal.decisions import rate_limits
from cicadapier._internal.protocols import answers
from cicadapier._internal.protocols import http_client

REQUEST_ID = b"x-request-id"
# Milliseconds that are left, not a point in time.
TIME_LEFT_MS = b"x-deadline-ms"
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
RETRY_AFTER = b"retry-after"
CONTENT_ENCODING = b"content-encoding"
KEEP_ALIVE = b"keep-alive"

# Parts of the prompt as ID:TOKENS, in order; the platform calls the whole list a prefix.
PROMPT_PARTS = b"x-prompt-prefix"
MODEL = b"x-model"
# Prompt tokens and the most output tokens, separated by a comma.
TOKEN_COUNTS = b"x-token-counts"

# Proof of the upstream that it ran the request.
EXECUTION_PROOF = b"x-server-stamp"
NOT_RUN = b"x-not-executed"
UPSTREAM = b"x-instance-id"
# Says with every answer that the upstream takes no new work any more.
LEAVING = b"server-leaving"
# Requests a second, a decimal number, that the upstream takes from all routers together.
RATE_LIMIT = b"server-limit"
# Running, waiting and slots, separated by commas.
LOAD = b"x-server-load"
# A single weights version, although its name is in the plural.
WEIGHTS = b"x-weight-versions"

ACCOUNT = b"x-tenant"
EXPECTED_UPSTREAM = b"x-expect-instance"
EXPECTED_WEIGHTS = b"x-expect-version"
# Text under which prompt parts are shared; any text will do.
CACHE_SCOPE = b"x-cache-salt"

# Address of an upstream or keep that holds parts of the prompt.
IMPORT_FROM = b"x-kv-fetch"

# Address of the keep that gets the parts once they are computed.
EXPORT_TO = b"x-kv-save"

# Address of an upstream that gets the memory of the run while it grows.
BACKUP_TO = b"x-kv-backup"

# Address and request id, or address and handle, of memory to go on from; a slash stands between.
CONTINUE_FROM = b"kv-from"

# What the router alone may say to an upstream; a caller's own values are dropped.
ROUTER_ONLY = frozenset(
    (
        ACCOUNT,
        EXPECTED_UPSTREAM,
        EXPECTED_WEIGHTS,
        CACHE_SCOPE,
        TIME_LEFT_MS,
        LAST_EVENT_ID,
        AUTHORIZATION,
        b"x-request-priority",
        IMPORT_FROM,
        EXPORT_TO,
        b"x-kv-hold",
        BACKUP_TO,
        b"x-pin-ms",
        CONTINUE_FROM,
    )
)


def read_rate_limit(head: http_client.ResponseHead) -> answers.RateLimit | None:
    """Returns the rate limit that an upstream names with an answer, None where it names none."""
    named = [value for name, value in head.headers if name == RATE_LIMIT]
    if not named:
        return None
    return answers.RateLimit(rate_limits.lowest_rate(b",".join(named).decode("latin-1").split(",")))


def is_leaving(head: http_client.ResponseHead) -> bool:
    """Returns whether an upstream says with an answer that it is leaving."""
    value = head.header(LEAVING)
    return value is not None and value.strip() not in (b"", b"0")
