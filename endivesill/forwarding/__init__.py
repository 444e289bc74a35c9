"""Forwards callers' requests to engines: routes, placement, streams."""
