# What the nodes of a fleet tell one another of it, until each has heard of each, and then: some minutes, with
# little load. Lists are short, as they have no part in it.
seed   = 49
settle = "2s"
limit  = "590s"

peers {
  counts     = [30, 60, 120]
  servers    = 60
  in_process = 42
  most       = "80s"
  quiet      = "10s"
}
