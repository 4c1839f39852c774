"""Demo: a small mesh of real processes on loopback addresses."""
