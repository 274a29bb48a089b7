"""The edge: accepts messages from clients and answers their queries about messages."""
