"""Sockets, timers and the loop round the core."""
