"""Sub-commands of `dapplehinge`; each is thin and calls a package below."""
