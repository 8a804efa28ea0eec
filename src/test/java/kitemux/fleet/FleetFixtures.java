package kitemux.fleet;

import java.util.List;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;

/** Fleets used as a starting point by tests. */
public final class FleetFixtures {
    private FleetFixtures() {}

    /** Returns a request class that is deduplicated per rack. */
    static RequestClass requestClass(String name, long aimMs, long deadlineMs, double worth, RetrySafety repeat) {
        return new RequestClass(
                name, aimMs * 1_000, 0, deadlineMs * 1_000, worth, 0, repeat, DedupScope.CELL, 1_200_000, false);
    }

    /** Returns the fleet with its racks and nodes spread over the given number of zones. */
    public static Fleet zoned(Fleet fleet, int zones) {
        return new Fleet(
                fleet.kinds(),
                zones,
                new Fleet.Zones(zones, 300, 0),
                fleet.nodes(),
                fleet.overloadSlowdown(),
                fleet.links(),
                fleet.discoveryDelays(),
                fleet.clients(),
                fleet.classes(),
                fleet.tenants(),
                fleet.load(),
                fleet.faults());
    }

    /**
     * Returns a fleet with the reference classes and clients.
     *
     * @param loadRatio offered load as a fraction of the capacity
     * @param lengthS time during which clients arrive, in seconds
     */
    public static Fleet yearbook(int standardServers, int oldServers, int nodes, double loadRatio, long lengthS) {
        List<Fleet.ServerKind> kinds = List.of(
                new Fleet.ServerKind("std", standardServers, 1, 0.97, 0.15, 500, 0.2, 18_000_000, false, 1),
                new Fleet.ServerKind("old", oldServers, 1, 0.75, 0.1, 400, 0.2, 18_000_000, false, 1));
        List<Fleet.ClassWorkload> classes = List.of(
                new Fleet.ClassWorkload(
                        requestClass("view-page", 100, 500, 1, RetrySafety.SAFE),
                        0.51,
                        19_000,
                        Fleet.WorkDistribution.EXPONENTIAL,
                        1),
                new Fleet.ClassWorkload(
                        requestClass("add-photo", 200, 600, 5, RetrySafety.KEYED),
                        0.30,
                        22_000,
                        Fleet.WorkDistribution.LOGNORMAL,
                        0.5),
                new Fleet.ClassWorkload(
                        requestClass("place-order", 300, 1_000, 5, RetrySafety.UNSAFE),
                        0.19,
                        33_000,
                        Fleet.WorkDistribution.LOGNORMAL,
                        0.6));
        double capacity = standardServers * 0.97 + oldServers * 0.75;
        double meanUs = 0.51 * 19_000 + 0.3 * 22_000 + 0.19 * 33_000;
        double rate = loadRatio * capacity * 1e6 / meanUs;
        return new Fleet(
                kinds,
                2,
                Fleet.Zones.SINGLE,
                new Fleet.Nodes(nodes, 60, 0.5, 1_500_000, 2_000_000),
                new Fleet.OverloadSlowdown(5.5, 2_000_000, 2.7, 0.3, 3_600_000, 24_000_000),
                new Fleet.Links(200, 0.2, 2, 5_000, 90, 60_000_000, 50_000),
                new Fleet.DiscoveryDelays(
                        new Fleet.Range(560_000, 5_000_000),
                        new Fleet.Range(5_000_000, 13_000_000),
                        new Fleet.Range(230_000, 2_100_000),
                        500_000),
                new Fleet.Clients(700, 2, 0.4, 0.8, 20_000, 0.85, 1_000_000, 0),
                classes,
                List.of(new Fleet.TenantShare("school-a", 0.6, 1), new Fleet.TenantShare("school-b", 0.4, 1)),
                new Fleet.Load(rate, lengthS * 1_000_000, List.of(), 1.3 * rate, 0.1),
                List.of());
    }
}
