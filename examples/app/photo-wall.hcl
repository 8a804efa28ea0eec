# A wall of photos: servers come and go, their list is kept by a desk that answers by HTTP, and a late photo is worth half.
name     = "photo-wall"
listen   = "127.0.0.1:8082"
networks = ["127.0.0.0/8"]

members {
  list      = "http://127.0.0.1:8500/servers"
  refresh   = "2s"
  most_lost = 0.3
  sure      = "20s"
  state     = "state"
}

health {
  path     = "/"
  fall     = 2
  most_out = 0.3
}

class "show-photo" {
  again      = "safe"
  aim        = "300ms"
  deadline   = "2s"
  late_worth = 0.5
}

limits {
  attempts = 3
  connect  = "100ms"
}

# A server that has just begun bears a fifth of its load, and all of it after ten seconds.
rules {
  cold_from = 0.2
  cold      = "10s"
}
