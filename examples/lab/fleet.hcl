# The fleet of the validation: servers of two speeds that queue, warm up and turn slow, over loopback. Cold times
# are short, so that a run of some seconds sees a server cold and warm again.
racks = 2

list {
  gone_from   = "300ms"
  gone_to     = "1500ms"
  silent_from = "2s"
  silent_to   = "4s"
  back_from   = "230ms"
  back_to     = "800ms"
  grace       = "500ms"
}

boxes "std" {
  count     = 5
  speed     = 0.97
  speed_cv  = 0.15
  queue     = 500
  cold_from = 0.2
  cold      = "6s"
  cost      = 1.0
}

boxes "old" {
  count     = 5
  speed     = 0.75
  speed_cv  = 0.10
  queue     = 400
  cold_from = 0.2
  cold      = "6s"
  cost      = 0.6
}

nodes {
  count  = 2
  event  = "60us"
  cores  = 1
  start  = "700ms"
  notice = "2s"
}

# Servers that are crowded turn slow, and stay so until they have been mostly idle for a while.
choke {
  at     = 5.5
  over   = "2s"
  slower = 2.7
  below  = 0.3
  rest   = "3600ms"
  most   = "24s"
}

links {
  way           = "50us"
  jitter        = 0.2
  handshakes    = 1
  handshake     = "5ms"
  most_per_core = 90
  idle          = "60s"
  connect       = "50ms"
}

clients {
  way      = "50us"
  retries  = 2
  try_from = 0.4
  try_to   = 0.8
  backoff  = "20ms"
  honour   = 0.85
}

class "view-page" {
  share    = 0.51
  work     = "19ms"
  spread   = "exponential"
  aim      = "100ms"
  deadline = "500ms"
  worth    = 1
  repeat   = "safe"
}

class "add-photo" {
  share    = 0.30
  work     = "22ms"
  spread   = "lognormal"
  cv       = 0.5
  aim      = "200ms"
  deadline = "600ms"
  worth    = 5
  repeat   = "keyed"
  group    = "rack"
  window   = "1200ms"
}

class "place-order" {
  share    = 0.19
  work     = "33ms"
  spread   = "lognormal"
  cv       = 0.6
  aim      = "300ms"
  deadline = "1s"
  worth    = 5
  repeat   = "never-twice"
}

tenant "school-a" {
  share = 0.6
}

tenant "school-b" {
  share = 0.4
}

load {
  rate   = 220
  length = "40s"
  quota  = 300
}
