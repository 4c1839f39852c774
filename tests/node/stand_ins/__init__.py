"""Stand-ins for the targets, views and sessions of a node."""
