"""A node's settings: TOML file, environment, flags; checked by pydantic."""
