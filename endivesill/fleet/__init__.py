"""The whole fleet as its VMs know it: configuration, engines, shared load."""
