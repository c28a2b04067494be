"""Exit codes of the command line."""

SUCCESS = 0
FAILURE = 1
USAGE_ERROR = 2
INVALID_SETTINGS = 78  # EX_CONFIG of sysexits.h.
