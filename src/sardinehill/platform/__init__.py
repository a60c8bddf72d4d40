"""Translates the platform's formats to the project's types, and back.

Nothing is decided here, and no other package knows a name of the wire.
"""
