"""What all packages stand on: the settings file, the log, the disk. It imports none of them."""
