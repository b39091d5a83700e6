"""The catalog of configuration, runners and closed zones that nodes request of replica machines."""
