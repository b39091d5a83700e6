"""The scale run: many hollow nodes in few processes beside real ones, and what they spend."""
