"""One order of entries that the voters agree on and all others learn. Raft as published, and a wary disk
under it."""
