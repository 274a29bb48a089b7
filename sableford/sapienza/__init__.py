"""Rifugio Sapienza, where the way up begins: takes messages in from clients and answers what they ask of
them."""
