"""Choice of prefill and decode replicas."""
