"""Entry node: the client-facing HTTP API for generations and plain services."""

from endivesill.entry.application import EntryApplication

__all__ = ["EntryApplication"]
