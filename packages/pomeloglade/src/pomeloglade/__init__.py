"""A router for separate prefill and decode pools."""
