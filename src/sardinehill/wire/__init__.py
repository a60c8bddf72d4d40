"""Contains the schemas of the messages between daemons, and their codecs."""
