"""Translates between the platform's formats and the project's types.

Only this package uses the names of headers, fields and settings that the
platform defines. It makes no decisions about requests or upstreams.
"""
