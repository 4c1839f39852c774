"""Node: the proxy beside a target."""
