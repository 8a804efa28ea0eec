# Six servers with little to do.
racks = 2

boxes "web" {
  count     = 6
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
  work     = "8ms"
  spread   = "fixed"
  aim      = "150ms"
  deadline = "2s"
  worth    = 1
  repeat   = "safe"
}

class "add-photo" {
  share    = 0.15
  work     = "8ms"
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
  work     = "8ms"
  spread   = "fixed"
  aim      = "300ms"
  deadline = "2s"
  worth    = 5
  repeat   = "never-twice"
}

load {
  rate   = 120
  length = "16s"
}

fault {
  trouble = "release"
  count   = 2
  at      = "6s"
  for     = "200ms"
  size    = 1
}
