"""Names of headers that routers, callers and upstreams exchange, in lower case."""

AUTHORIZATION = b"authorization"
CONTENT_TYPE = b"content-type"
IDEMPOTENCY_KEY = b"idempotency-key"
INCARNATION = b"x-incarnation"
NOT_RUN = b"x-not-run"
REQUEST_ID = b"x-request-id"
RETRY_AFTER = b"retry-after"
WEIGHTS_VERSION = b"x-weights-version"

# Headers that apply to one connection only, and those that are set again for each connection.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"host",
        b"expect",
    )
)
