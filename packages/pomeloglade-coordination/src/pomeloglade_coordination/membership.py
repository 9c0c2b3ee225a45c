"""Membership of instances by heartbeats between peers."""
