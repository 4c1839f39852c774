"""Library shared by all mustardspur processes."""
