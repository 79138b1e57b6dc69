"""Configuration versions: changes, validation and the command language."""
