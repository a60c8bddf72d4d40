"""The command line, one module a noun."""
