package kitemux.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import kitemux.cli.Main;
import kitemux.fleet.Fleet;
import kitemux.plan.FleetFile;

/** Small fleets and commands for nodes that run the classes under test. */
final class TestFleets {
    static final String SMALL_FLEET_HCL = """
            racks = 2
            boxes "std" {
              count     = 4
              cold_from = 0.3
              cold      = "1s"
            }
            nodes {
              count = 2
            }
            links {
              way     = "50us"
              connect = "250ms"
            }
            list {
              gone_from = "200ms"
              gone_to   = "400ms"
              back_from = "100ms"
              back_to   = "200ms"
            }
            clients {
            }
            class "page" {
              share    = 0.7
              work     = "4ms"
              aim      = "250ms"
              deadline = "1s"
              repeat   = "safe"
            }
            class "order" {
              share    = 0.3
              work     = "6ms"
              aim      = "400ms"
              deadline = "1s"
              repeat   = "never-twice"
            }
            load {
              rate   = 150
              length = "3s"
            }
            """;

    private TestFleets() {}

    static Fleet smallFleet() {
        List<String> faults = new ArrayList<>();
        Fleet fleet = FleetFile.read(SMALL_FLEET_HCL, faults);
        if (!faults.isEmpty()) {
            throw new IllegalStateException(faults.toString());
        }
        return fleet;
    }

    /** Returns a command that runs a node of the classes under test in a process of its own. */
    static ProcessBuilder nodeCommand() throws IOException {
        return new ProcessBuilder(
                ProcessHandle.current().info().command().orElseThrow(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "node");
    }
}
