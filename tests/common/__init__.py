"""Provides the fleets and simulations that several tests share."""
