"""The mustardspur daemon, a control instance or a node."""
