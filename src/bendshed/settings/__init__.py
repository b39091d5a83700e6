"""A node's settings from a TOML file, the environment and flags, validated with pydantic."""
