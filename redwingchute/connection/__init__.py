"""Connections: HTTP server, HTTP client, and links between routers."""
