"""Model of prefill and decode replicas."""
