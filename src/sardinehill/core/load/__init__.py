"""Decisions about load: who is sent a request, when, and by what limit."""
