"""Stand-ins for the platform, servers, clients and the operator."""
