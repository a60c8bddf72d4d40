"""The daemon of an entry host, which sends requests to upstreams directly."""
