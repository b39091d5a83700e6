"""Where turns run, decided from the load of all nodes."""
