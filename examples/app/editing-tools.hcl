# The editing tools: everything may run again; servers are told by a file that the tools' own desk writes.
name     = "editing-tools"
listen   = "127.0.0.1:8081"
networks = ["127.0.0.0/8", "10.2.0.0/16"]

members {
  file  = "editing-servers.json"
  state = "state"
}

health {
  path  = "/"
  every = "1s"
}

class "view-page" {
  again    = "safe"
  aim      = "200ms"
  deadline = "1s"
}

class "save-draft" {
  again    = "keyed"
  window   = "2s"
  aim      = "400ms"
  deadline = "2s"
  worth    = 3
}

keys {
  kept   = "10s"
  shared = "all"
}

logs {
  form = "json"
}
