# The size to plan for. Each stage takes under six minutes, most of them under two: run them one by one with
# --only. What nodes tell one another takes longer: peers.hcl.
seed   = 49
settle = "2s"
limit  = "345s"

full {
  nodes            = 420
  servers          = 4800
  services         = 230
  zones            = 8
  tenants          = 11000
  changes_a_minute = 600 # a zone that is lost within a minute
}

list {
  servers = [60, 600, 2400, 4800]
  quiet   = "5s"
  first   = 20
  changes = 120
  every   = "20ms"
  wholes  = 3
}

nodes {
  counts     = [60, 210, 420]
  servers    = 4800
  in_process = 42
  quiet      = "5s"
  changes    = 10
  every      = "600ms"
}

tenants {
  counts  = [11, 1100, 11000]
  servers = 4800
  quiet   = "6s"
  changes = 100
  every   = "20ms"
  rate    = 2000
}

p99 {
  rates   = [117, 351]
  servers = 4800
  turns   = 3
  slice   = "5s"
}

changes {
  a_minute = [60, 240, 600, 1200]
  servers  = 4800
  length   = "10s"
}

events {
  nodes      = 420
  servers    = 4800
  in_process = 42
  quiet      = "6s"
  times      = 1
}

event "restart" {
  servers = 1
  drains  = true
}

event "release" {
  servers = 21 # one of 230 services
  drains  = true
}

event "rack" {
  servers = 40
  in_line = 40
}

event "zone" {
  servers = 600
  in_line = 600
}

event "zone-one-by-one" {
  servers = 600
  hollow  = false
}

event "region" {
  servers = 1600
  in_line = 1600
}

event "watches-end" {
  watches_end = true
}
