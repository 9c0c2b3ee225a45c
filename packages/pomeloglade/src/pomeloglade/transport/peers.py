"""Websocket connections between instances."""
