"""Decision logic without input or output; callers pass in the time."""
