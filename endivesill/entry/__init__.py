"""The entry: callers' requests, generations, streams and plain calls."""

from endivesill.entry.application import EntryApplication

__all__ = ["EntryApplication"]
