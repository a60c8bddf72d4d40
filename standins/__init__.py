"""Stand-ins for the platform, the upstreams and a faulty network."""
