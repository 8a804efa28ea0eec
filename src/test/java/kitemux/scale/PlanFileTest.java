package kitemux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PlanFileTest {
    private static List<String> faults(String text) {
        List<String> faults = new ArrayList<>();
        PlanFile.read("f.hcl", text, faults);
        return faults;
    }

    @ParameterizedTest
    @ValueSource(strings = {"planned", "small", "peers"})
    void theExamplesAreSound(String name) throws IOException {
        List<String> faults = new ArrayList<>();
        Plan plan = PlanFile.read(name, Files.readString(Path.of("examples", "scale", name + ".hcl")), faults);
        assertEquals(List.of(), faults);
        if (name.equals("peers")) {
            assertEquals(3, plan.peers().nodes().size());
        } else {
            assertEquals(
                    plan.full().servers(),
                    plan.list().servers().get(plan.list().servers().size() - 1));
        }
    }

    @Test
    void allIsRead() {
        List<String> faults = new ArrayList<>();
        Plan plan = PlanFile.read("f", """
                seed = 7
                settle = "1s"
                list {
                  servers = [1, 2, 3]
                  quiet = "2s"
                  first = 4
                  changes = 5
                  every = "6ms"
                  wholes = 7
                }
                event "zone" {
                  servers = 600
                  in_line = 60
                  drains = true
                  hollow = false
                }
                event "end" { watches_end = true }
                """, faults);
        assertEquals(List.of(), faults);
        assertEquals(7, plan.seed());
        assertEquals(1_000_000, plan.settleUs());
        assertEquals(new Plan.Lists(List.of(1, 2, 3), 2_000_000, 4, 5, 6_000, 7), plan.list());
        assertEquals(
                List.of(new Plan.Event("zone", 600, 60, true, false), new Plan.Event("end", -1, 1, false, true)),
                plan.told());
        assertEquals(new Plan.Full(420, 4_800, 230, 8, 11_000, 600), plan.full());
    }

    /** Every one is told, each with its place. */
    @Test
    void allFaultsAreToldAtOnce() {
        List<String> faults = faults("list {\n  servers = [600, 60]\n  first = 0\n  every = 5\n"
                + "  what = 1\n}\n"
                + "event \"A zone\" {\n  servers = 5000\n}\n");
        assertEquals(6, faults.size(), faults.toString());
        assertTrue(faults.stream().allMatch(fault -> fault.matches("f\\.hcl:\\d+:\\d+: .*")), faults.toString());
        assertTrue(faults.toString().contains("f.hcl:2:3: list.servers: must hold whole numbers"), faults.toString());
        assertTrue(faults.toString().contains("f.hcl:5:3: list.what: is not known here"), faults.toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "list { servers = [1, 20001] } | list.servers: must hold whole numbers from 1 to 20000",
                "list { servers = [] } | list.servers: must hold at least one number",
                "nodes { counts = [1001] } | nodes.counts: must hold whole numbers from 1 to 1000",
                "nodes {~ counts = [420]~ in_process = 4~} | nodes.in_process: makes more than 100 processes",
                "tenants { counts = [50001] } | tenants.counts: must hold whole numbers from 1 to 50000",
                "changes { a_minute = [6001] } | changes.a_minute: must hold whole numbers from 1 to 6000",
                "p99 { rates = [2001] } | p99.rates: must hold whole numbers from 1 to 2000",
                "p99 {~ rates = [1]~ turns = 100~ slice = \"60s\"~} | p99: takes 12000 s, more than 300",
                "p99 {~ rates = [1]~ turns = 10~ slice = \"11s\"~}~event \"a\" {~ servers = 1~} "
                        + "| p99: takes 330 s, more than 300",
                "peers {~ counts = [1, 2, 3]~ most = \"200s\"~} | peers: takes 630 s, more than 600",
                "peers {~ counts = [1001]~} | peers.counts: must hold whole numbers from 1 to 1000",
                "limit = \"901s\" | limit: is not from 1ms to 900s",
                "settle = \"301s\" | settle: is not from 1ms to 300s",
                "event \"none\" { in_line = 1 } | event \"none\".servers: must be given",
                "this is = { not } | f.hcl: this is not HCL"
            })
    void whatIsOutOfBoundsIsTold(String text, String fault) {
        List<String> faults = faults(text.replace("~", "\n") + "\n");
        assertTrue(faults.stream().anyMatch(one -> one.contains(fault)), faults.toString());
    }
}
