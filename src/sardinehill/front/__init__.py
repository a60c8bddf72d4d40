"""The daemon of an entry host, which sends to upstreams directly."""
