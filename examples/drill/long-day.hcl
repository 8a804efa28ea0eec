# Five minutes of fourteen nodes, one fault after another, two releases of servers beside them.
fleet  = "long-fleet.hcl"
nodes  = 14
length = "5m"
seed   = 1

fault "three nodes die" {
  what = "kill"
  at   = "20s"
  for  = "3s"
  on = ["nodes"]
  count = 3
}

fault "two nodes stand still" {
  what = "stop"
  at   = "40s"
  for  = "6s"
  on = ["nodes"]
  count = 2
}

fault "two machines are gone" {
  what = "crash"
  at   = "60s"
  for  = "8s"
  on = ["nodes"]
  count = 2
}

fault "half of the nodes lose half of the servers" {
  what = "cut"
  at   = "85s"
  for  = "10s"
  from = ["node-0", "node-1", "node-2", "node-3", "node-4", "node-5", "node-6"]
  to = ["rack-0"]
}

fault "answers of three servers are lost on the way" {
  what = "cut"
  at   = "105s"
  for  = "5s"
  from = ["nodes"]
  to = ["boxes"]
  count = 3
  ways = "back"
}

fault "ways to servers are slow and uneven" {
  what = "slow"
  at   = "120s"
  for  = "12s"
  from = ["nodes"]
  to = ["rack-1"]
  delay = "10ms"
  spread = "60ms"
}

fault "discovery flaps" {
  what = "flap"
  at   = "140s"
  for  = "15s"
  from = ["nodes"]
  to = ["list"]
  every = "1500ms"
}

fault "connections are reset" {
  what = "reset"
  at   = "165s"
  from = ["nodes"]
  to = ["boxes"]
}

fault "the front loses four nodes" {
  what = "cut"
  at   = "175s"
  for  = "4s"
  from = ["clients"]
  to = ["nodes"]
  count = 4
}

fault "ten nodes die at once" {
  what = "kill"
  at   = "195s"
  for  = "4s"
  on = ["nodes"]
  count = 10
}

fault "narrow ways" {
  what = "slow"
  at   = "220s"
  for  = "8s"
  from = ["nodes"]
  to = ["boxes"]
  count = 4
  bytes_per_s = 20000
}

fault "a node stands still for long" {
  what = "stop"
  at   = "235s"
  for  = "30s"
  on = ["nodes"]
  count = 1
}

fault "machines gone in the release" {
  what = "crash"
  at   = "270s"
  for  = "6s"
  on = ["nodes"]
  count = 3
}
