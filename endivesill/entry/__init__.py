"""Entry node: the caller-facing HTTP API for generations and plain services."""

from endivesill.entry.application import EntryApplication

__all__ = ["EntryApplication"]
