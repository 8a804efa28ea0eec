# Some seconds, to see that all of it works; its figures say nothing of a large fleet.
settle = "200ms"

full {
  nodes            = 6
  servers          = 40
  services         = 4
  zones            = 2
  tenants          = 30
  changes_a_minute = 600
}

list {
  servers = [10, 20, 40]
  quiet   = "100ms"
  first   = 4
  changes = 10
  every   = "5ms"
  wholes  = 1
}

nodes {
  counts     = [2, 4, 6]
  servers    = 40
  in_process = 3
  quiet      = "500ms"
  changes    = 4
  every      = "10ms"
}

peers {
  counts     = [2, 4, 6]
  servers    = 10
  in_process = 3
  most       = "10s"
  quiet      = "2s"
}

p99 {
  rates   = [100]
  servers = 40
  turns   = 2
  slice   = "500ms"
}

event "zone" {
  servers = 20
  in_line = 20
}
