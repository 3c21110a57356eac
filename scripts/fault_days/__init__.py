"""Fault days for the control plane: combinations of faults that the standard days do not contain.

`catalogue` defines the days, `site` reads the site file of a deployment, `day_file` writes a day for
that site, and `bench` runs day files with the test bench and reads their results.
"""
