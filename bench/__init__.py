"""Benches, stand-ins and the demo; each bench prints JSON and a table."""
