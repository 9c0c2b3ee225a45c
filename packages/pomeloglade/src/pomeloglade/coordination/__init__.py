"""Joins the coordination library to the tasks of the router."""
