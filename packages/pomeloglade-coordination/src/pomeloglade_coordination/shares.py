"""Shares of each account's rate and burst, held by one owner a zone."""
