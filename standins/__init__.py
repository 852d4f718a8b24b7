"""Simulators of the external systems, for tests, trials and the demonstration.

The package ``lycheetide`` never imports them.
"""
