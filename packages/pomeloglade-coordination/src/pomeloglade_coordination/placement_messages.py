"""Messages between the instances that share replicas."""
