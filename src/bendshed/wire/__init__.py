"""Protobuf messages between nodes; the generated code is committed (``make wire``)."""
