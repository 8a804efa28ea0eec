# What `try` plays: a node, six servers of two speeds, three classes and two schools.
racks = 2

boxes "std" {
  count     = 3
  speed     = 1.0
  speed_cv  = 0.05
  queue     = 100
  cold_from = 0.3
  cold      = "6s"
}

boxes "old" {
  count     = 3
  speed     = 0.6
  speed_cv  = 0.05
  queue     = 100
  cold_from = 0.3
  cold      = "6s"
}

nodes {
  count  = 1
  start  = "1500ms"
  notice = "500ms"
}

links {
  way        = "50us"
  handshakes = 1
  handshake  = "1ms"
  connect    = "100ms"
}

list {
  gone_from   = "300ms"
  gone_to     = "1s"
  silent_from = "2s"
  silent_to   = "4s"
  back_from   = "200ms"
  back_to     = "600ms"
}

clients {
  retries = 2
}

class "view-page" {
  share    = 0.6
  work     = "15ms"
  aim      = "150ms"
  deadline = "1s"
  repeat   = "safe"
}

class "add-photo" {
  share    = 0.25
  work     = "20ms"
  spread   = "lognormal"
  cv       = 0.5
  aim      = "250ms"
  deadline = "1s"
  repeat   = "keyed"
  group    = "rack"
  window   = "2s"
  worth    = 3
}

class "place-order" {
  share    = 0.15
  work     = "25ms"
  spread   = "lognormal"
  cv       = 0.5
  aim      = "400ms"
  deadline = "2s"
  repeat   = "never-twice"
  worth    = 5
}

tenant "school-a" {
  share = 0.6
}

tenant "school-b" {
  share = 0.4
}

load {
  rate  = 120
  quota = 200
}
