"""Fleet state shared by its VMs: configuration, engine list, load and shares."""
