"""Control instance: store, streams to nodes, registry, operators' interface."""
