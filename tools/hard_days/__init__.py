"""Days written on purpose: troubles that overlap and follow each other, played with the operators' bench."""
