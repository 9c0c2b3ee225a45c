"""Easy calls for operators: check, diff, publish, show, status and keys."""
