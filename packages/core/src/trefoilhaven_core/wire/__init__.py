"""Datagram codec and the generated gRPC code."""
