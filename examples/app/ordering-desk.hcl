# The ordering desk: a program beside it sends its requests to the servers below.
name        = "ordering-desk"
listen      = "127.0.0.1:8080"
networks    = ["127.0.0.0/8", "10.1.0.0/16"]
never_twice = ["place-order"]

server "web-1" {
  address = "127.0.0.1:9001"
  rack    = 0
}

server "web-2" {
  address = "127.0.0.1:9002"
  rack    = 1
}

server "web-3" {
  address = "127.0.0.1:9003"
  rack    = 0
  state   = "draining"
}

class "view-page" {
  again    = "safe"
  aim      = "100ms"
  deadline = "500ms"
}

class "add-photo" {
  again    = "keyed"
  group    = "rack"
  window   = "1200ms"
  aim      = "200ms"
  deadline = "600ms"
  worth    = 5
}

class "place-order" {
  again    = "never-twice"
  aim      = "300ms"
  deadline = "1s"
  worth    = 5
}

keys {
  kept   = "1500ms"
  shared = "rack"
}

quota = 300

tenant "school-a" {
  share = 0.6
}

tenant "school-b" {
  share = 0.4
}

limits {
  attempts      = 4
  second_copies = true
  connect       = "100ms"
  sockets       = 1024
  memory_mib    = 128
}

rules {
  cold_from = 0.2
  cold      = "18s"
}
