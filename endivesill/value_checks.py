"""Checks of addresses, ports and limits; each returns what is wrong, if anything."""

from __future__ import annotations

import ipaddress
import math

__all__ = ["address_problem", "ip_problem", "limit_problem", "port_problem"]

MAXIMUM_PORT = 65_535


def port_problem(port: int) -> str:
    """Return what is wrong with a port; the empty string if nothing is."""
    if 1 <= port <= MAXIMUM_PORT:
        return ""
    return f"{port} is not a port from 1 to {MAXIMUM_PORT}"


def ip_problem(text: str) -> str:
    """Return what is wrong with an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return f"{text!r} is not an IP address"
    return ""


def address_problem(text: str) -> str:
    """Return what is wrong with a HOST:PORT; the host may be a name."""
    host, _, port = text.rpartition(":")
    looks_numeric = host.replace(".", "").isdecimal()
    if not host or not (port.isascii() and port.isdecimal()):
        return f"{text!r} is not HOST:PORT"
    if any(c.isspace() for c in host) or (looks_numeric and ip_problem(host)):
        return f"{text!r} has no valid host"
    return port_problem(int(port))


def limit_problem(number: float) -> str:
    """Return what is wrong with a limit, which is finite and not negative."""
    if math.isfinite(number) and number >= 0:
        return ""
    return f"{number} is not a number of 0 or more"
