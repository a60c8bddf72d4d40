"""Runs the logic of `core` on sockets, timers and an event loop."""
