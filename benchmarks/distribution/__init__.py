"""Distribution of configuration and targets at the design size."""
