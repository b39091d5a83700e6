"""Tests of load patterns: each docstring names the pattern and the grounds for its figures."""
