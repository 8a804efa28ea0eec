# Ten servers that take 20 ms a request and let 24 wait: 500 requests a second are all that they can do. Clients
# that are refused come back up to twice, when they are told to.
racks = 2

boxes "web" {
  count     = 10
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
  work     = "20ms"
  spread   = "fixed"
  aim      = "150ms"
  deadline = "2s"
  worth    = 1
  repeat   = "safe"
}

class "add-photo" {
  share    = 0.15
  work     = "20ms"
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
  work     = "20ms"
  spread   = "fixed"
  aim      = "300ms"
  deadline = "2s"
  worth    = 5
  repeat   = "never-twice"
}

# Half of what the servers can do, then 1.5 times that for 10 s while three of ten say nothing for 4 s, then half.
load {
  rate   = 250
  length = "24s"
  point {
    at    = "8s"
    times = 1
  }
  point {
    at    = "8001ms"
    times = 3
  }
  point {
    at    = "18s"
    times = 3
  }
  point {
    at    = "18001ms"
    times = 1
  }
}

fault {
  trouble = "vanish"
  count   = 3
  at      = "10s"
  for     = "4s"
}
