"""Node: the proxy on the instance of a target."""
