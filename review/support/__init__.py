"""Stand-ins for the store, backends and clients of the review's cases."""
