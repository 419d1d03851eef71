"""Small stand-ins for what the platform and the users bring."""
