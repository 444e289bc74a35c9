"""The whole fleet as its VMs know it: desired state, engines, shared load."""
