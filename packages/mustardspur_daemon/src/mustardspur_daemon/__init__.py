"""The daemon: control instance or node."""
