# Predicted first, then played over sockets with real nodes: is the emulator within a tenth of what happens?
# Nothing was fitted to any of these. A run takes 15 s over sockets.
fleet  = "fleet.hcl"
goal   = 0.95
seeds  = 2
length = "15s"

scenario "quiet" { load = 0.5 }
scenario "afternoon" { load = 1 }
scenario "busy" { load = 1.4 }
scenario "full" { load = 1.75 }
scenario "over" { load = 2.2 }
scenario "far over" { load = 3 }

scenario "only quick servers" {
  load = 0.9
  counts {
    std = 8
    old = 0
  }
}

scenario "only old servers" {
  load = 0.9
  counts {
    std = 0
    old = 9
  }
}

scenario "mostly old, full" {
  load = 1.1
  counts {
    std = 2
    old = 6
  }
}

scenario "one node" {
  load  = 1.2
  nodes = 1
}

scenario "four nodes" {
  load  = 1.2
  nodes = 4
}

scenario "burst" {
  load = 1
  point {
    at    = "3s"
    times = 1
  }
  point {
    at    = "4s"
    times = 2.4
  }
  point {
    at    = "7s"
    times = 2.4
  }
  point {
    at    = "8s"
    times = 1
  }
}

scenario "rack lost" {
  load = 0.9
  fault {
    trouble = "die"
    among   = "rack"
    which   = 1
    at      = "4s"
    for     = "3s"
  }
}

scenario "rack lost, busy" {
  load = 1.3
  fault {
    trouble = "die"
    among   = "rack"
    which   = 0
    at      = "4s"
    for     = "3s"
  }
}

scenario "three die and come back cold" {
  load = 1.2
  fault {
    trouble = "die"
    count   = 3
    at      = "3s"
    for     = "1s"
  }
}

scenario "all start cold" {
  load = 0.8
  fault {
    trouble = "die"
    at      = "1s"
    for     = "500ms"
  }
}

scenario "release, two at a time" {
  load = 1
  fault {
    trouble = "release"
    at      = "1s"
    for     = "300ms"
    size    = 2
  }
}

scenario "release, five at a time" {
  load = 1
  fault {
    trouble = "release"
    at      = "1s"
    for     = "300ms"
    size    = 5
  }
}

scenario "two slow" {
  load = 1
  fault {
    trouble = "slow"
    count   = 2
    at      = "2s"
    for     = "9s"
    size    = 4
  }
}

scenario "old kind slow" {
  load = 1
  fault {
    trouble = "slow"
    among   = "kind"
    which   = 1
    at      = "2s"
    for     = "6s"
    size    = 2.5
  }
}

scenario "two fail most" {
  load = 1
  fault {
    trouble = "fail"
    count   = 2
    at      = "2s"
    for     = "8s"
    size    = 0.9
  }
}

scenario "half fail some" {
  load = 0.9
  fault {
    trouble = "fail"
    count   = 5
    at      = "2s"
    for     = "8s"
    size    = 0.4
  }
}

scenario "nodes restart in turn" {
  load = 1
  fault {
    trouble = "nodes-restart"
    at      = "3s"
    for     = "200ms"
    size    = 1
  }
}

scenario "both nodes killed" {
  load = 1
  fault {
    trouble = "nodes-restart"
    at      = "4s"
    for     = "200ms"
    size    = 2
  }
}

scenario "storm of repeats" {
  load    = 1.1
  retries = 4
  honour  = 0
  point {
    at    = "3s"
    times = 1
  }
  point {
    at    = "4s"
    times = 3.5
  }
  point {
    at    = "6s"
    times = 3.5
  }
  point {
    at    = "7s"
    times = 1
  }
}

scenario "no server turns slow" {
  load  = 2
  choke = false
}

scenario "load" { loads = [1.2, 1.4, 1.6, 1.8, 2] }

scenario "quick servers" {
  of    = "std"
  boxes = [1, 2, 3, 4, 5]
}
