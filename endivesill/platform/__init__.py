"""Adapter to the users' platform: wire names, message formats and HTTP calls."""
