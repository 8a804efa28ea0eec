package kitemux.scale;

import java.util.List;

/**
 * What is to be measured. Stages that are null are left out.
 *
 * @param seed of all that is drawn
 * @param settleUs left alone behind a start, for what that leaves to be done
 * @param limitUs a stage that takes longer, with all starts, is broken off
 * @param full the size to plan for
 * @param told events, in order
 */
public record Plan(
        long seed,
        long settleUs,
        long limitUs,
        Full full,
        Lists list,
        Nodes nodes,
        Peers peers,
        Tenants tenants,
        Changes changes,
        Paired p99,
        Events events,
        List<Event> told) {

    /** The size to plan for, and what it is held against. */
    record Full(int nodes, int servers, int services, int zones, int tenants, int changesAMinute) {}

    /**
     * A real node's cost by the servers listed.
     *
     * @param quietUs how long it is watched while nothing happens
     * @param first changes that are told to a node that has just started, which has compiled little yet
     * @param changes changes that are measured
     * @param everyUs between two changes
     * @param wholes how often the whole list is told
     */
    record Lists(List<Integer> servers, long quietUs, int first, int changes, long everyUs, int wholes) {}

    /** What many hollow nodes cost, and those whom they ask. */
    record Nodes(List<Integer> nodes, int servers, int inProcess, long quietUs, int changes, long everyUs) {}

    /**
     * What hollow nodes tell one another of the fleet.
     *
     * @param mostUs how long it is waited for until what they had to tell at their start is told
     * @param quietUs how long they are watched then
     */
    record Peers(List<Integer> nodes, int servers, int inProcess, long mostUs, long quietUs) {}

    /** A real node's cost by tenants, which ask it at this rate. */
    record Tenants(List<Integer> tenants, int servers, long quietUs, int changes, long everyUs, double rate) {}

    /** A real node's cost by changes a minute. */
    record Changes(List<Integer> aMinute, int servers, long lengthUs) {}

    /** What a real node adds to a request's time, at these rates, in slices of this length. */
    record Paired(List<Integer> rates, int servers, int turns, long sliceUs) {}

    /** What events cost a real node, a hollow one that has the machine to itself, and one among so many. */
    record Events(int nodes, int servers, int inProcess, long quietUs, int times) {}

    /**
     * Something that befalls servers: they are told to go and to be back.
     *
     * @param servers how many it befalls; -1 for none, and the watches of all nodes end
     * @param inLine changes told at once, in one line
     * @param drains whether they drain before they have gone
     * @param hollow whether hollow nodes hear of it too, and not just a real one
     */
    record Event(String name, int servers, int inLine, boolean drains, boolean hollow) {
        /** Whether all watches end at once, and the whole list is asked for anew. */
        boolean endsWatches() {
            return servers < 0;
        }
    }
}
