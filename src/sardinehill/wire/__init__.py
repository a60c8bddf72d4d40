"""Schemas of the messages between daemons, and their codec."""
