"""Bad clients at full strength beside usual callers: memory and answers of the real process."""
