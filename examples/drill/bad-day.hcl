# Faults between nodes, servers and discovery while little is asked: nothing may be lost or run twice.
fleet  = "small-fleet.hcl"
nodes  = 5
length = "16s"
seed   = 1

fault "node-0 dies" {
  what = "kill"
  at   = "2s"
  for  = "1s"
  on   = ["node-0"]
}

fault "node-1 is stopped" {
  what = "stop"
  at   = "3s"
  for  = "2s"
  on   = ["node-1"]
}

fault "node-2's machine is gone" {
  what = "crash"
  at   = "4s"
  for  = "2s"
  on   = ["node-2"]
}

fault "node-3 hears nothing from half of the servers" {
  what = "cut"
  ways = "back"
  at   = "5s"
  for  = "2s"
  from = ["node-3"]
  to   = ["rack-0"]
}

fault "ways to servers are slow and uneven" {
  what   = "slow"
  at     = "8s"
  for    = "3s"
  from   = ["nodes"]
  to     = ["rack-1"]
  delay  = "10ms"
  spread = "60ms"
}

fault "discovery flaps" {
  what  = "flap"
  at    = "8s"
  for   = "4s"
  from  = ["nodes"]
  to    = ["list"]
  every = "800ms"
}

fault "connections are reset" {
  what = "reset"
  at   = "12s"
  from = ["nodes"]
  to   = ["boxes"]
}
