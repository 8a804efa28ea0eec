# More than the servers can do, and a third of them silent for a while: what do N nodes make of it together?
fleet = "storm-fleet.hcl"
nodes = 6

phase "calm" {
  from = "2s"
  to   = "8s"
}

phase "storm" {
  from = "8s"
  to   = "18s"
}

phase "after" {
  from = "18s"
  to   = "20s"
}
