# Twelve servers at half of what they can do.
racks = 2

boxes "web" {
  count     = 12
  speed     = 1
  queue     = 24
  cold_from = 0.5
  cold      = "2s"
}

nodes {
  count  = 6
  notice = "2s"
}

links {
  way           = "50us"
  handshakes    = 1
  handshake     = "1ms"
  most_per_core = 90
  connect       = "50ms"
}

list {
  silent_from = "2s"
  silent_to   = "3s"
  back_from   = "200ms"
  back_to     = "400ms"
}

clients {
  retries  = 2
  try_from = 0.4
  try_to   = 0.6
  backoff  = "50ms"
  honour   = 1
}

class "view-page" {
  share    = 0.70
  work     = "15ms"
  spread   = "fixed"
  aim      = "150ms"
  deadline = "2s"
  worth    = 1
  repeat   = "safe"
}

class "add-photo" {
  share    = 0.15
  work     = "15ms"
  spread   = "fixed"
  aim      = "200ms"
  deadline = "2s"
  worth    = 5
  repeat   = "keyed"
  group    = "rack"
  window   = "1200ms"
}

class "place-order" {
  share    = 0.15
  work     = "15ms"
  spread   = "fixed"
  aim      = "300ms"
  deadline = "2s"
  worth    = 5
  repeat   = "never-twice"
}

load {
  rate   = 400
  length = "5m"
}

fault {
  trouble = "release"
  count   = 6
  at      = "65s"
  for     = "1s"
  size    = 2
}

fault {
  trouble = "vanish"
  count   = 3
  at      = "150s"
  for     = "8s"
}

fault {
  trouble = "fail"
  count   = 2
  at      = "215s"
  for     = "10s"
  size    = 0.6
}

fault {
  trouble = "release"
  count   = 6
  at      = "262s"
  for     = "1s"
  size    = 3
}
