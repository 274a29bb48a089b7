"""The schedulers as a fleet: who is there, and one record that they agree on. Off unless a file switches it
on."""
