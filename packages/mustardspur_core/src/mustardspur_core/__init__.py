"""Parts that every mustardspur process shares."""
