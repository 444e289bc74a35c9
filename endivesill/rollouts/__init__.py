"""Roll-outs: a service's traffic is moved to engines of another version."""
