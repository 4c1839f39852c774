"""Stand-ins for a node's surroundings."""
