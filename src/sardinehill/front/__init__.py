"""The daemon of an entry host that sends to upstreams directly."""
