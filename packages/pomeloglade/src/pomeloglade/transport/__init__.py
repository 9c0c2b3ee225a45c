"""Sockets: HTTP servers and clients, peer connections."""
