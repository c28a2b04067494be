"""Check of addresses that others write."""

import ipaddress
import re

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
_MAX_HOST_LENGTH = 253
_LABEL = r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST_NAME = re.compile(rf"{_LABEL}(?:\.{_LABEL})*\.?")


def is_address(text: str, min_port: int = 1) -> bool:
    """Returns whether a text is an address: `IP:port` or `name:port`.

    Args:
        text: The text.
        min_port: Smallest port; 0 for addresses to listen on, where it stands for any port.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS):
        return False
    return min_port <= int(port) <= MAX_PORT and _is_host(host)


def _is_host(host: str) -> bool:
    if len(host) <= _MAX_HOST_LENGTH and _HOST_NAME.fullmatch(host):
        return True
    is_bracketed = host.startswith("[") and host.endswith("]")
    return _is_ipv6(host[1:-1] if is_bracketed else host)


def _is_ipv6(host: str) -> bool:
    try:
        ipaddress.IPv6Address(host)
    except ValueError:
        return False
    return True
