"""CBOR codec of the messages between instances."""
