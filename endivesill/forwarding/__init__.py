"""Request forwarding: routing, placement, retries and stream relay."""
