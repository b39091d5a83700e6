"""A whole installation under virtual time, with faults; runs the product's own node code."""
