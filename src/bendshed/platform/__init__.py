"""The users' platform: its names, formats and calls, translated. Nothing here decides."""
