package kitemux.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides to which servers a process may send requests, from the reports of a membership source and the results of
 * health checks, within the limits of {@link MemberSettings}. This class does no input or output: callers read lists,
 * check servers and pass the time in. It must be called by one thread. Times are in microseconds and never go
 * backwards.
 */
public final class Membership {
    private final MemberSettings settings;
    private final KnownMembers knownMembers;
    private final Map<String, ServerHealth> healthByName = new LinkedHashMap<>();
    /** When each server joined at its present address; 0 if it was there from the beginning. */
    private final Map<String, Join> joinsByName = new LinkedHashMap<>();

    private List<MemberStatus> currentServers = List.of();
    private boolean initialized;
    private boolean ejectionCapped;

    private record Join(String address, long joinedUs) {}

    /**
     * State of a server as it is passed to the node.
     *
     * @param member the server as its source reports it
     * @param draining whether the server receives no new requests, because it drains or its health checks fail
     * @param startedUs time of the last observed start; 0 if the server started long ago
     */
    public record MemberStatus(Member member, boolean draining, long startedUs) {}

    /**
     * Result of an event.
     *
     * @param servers all servers, or null if nothing has changed
     * @param messages lines for operators
     */
    public record Decision(List<MemberStatus> servers, List<String> messages) {}

    /** Starts without any known server. */
    public Membership(MemberSettings settings) {
        this.settings = settings;
        knownMembers = new KnownMembers(settings.maxLostRatio(), settings.lossConfirmationUs());
    }

    /** Restores what an earlier process of the same application saved. Must be called before any other event. */
    public Decision restore(long nowUs, MembershipSnapshot snapshot) {
        knownMembers.replaceAll(snapshot.members().stream()
                .map(MembershipSnapshot.MemberRecord::member)
                .toList());
        snapshot.members()
                .forEach(entry -> joinsByName.put(
                        entry.member().name(), new Join(entry.member().address(), Math.min(nowUs, entry.startedUs()))));
        if (settings.healthCheck() != null) {
            snapshot.members()
                    .forEach(entry -> healthByName.put(
                            entry.member().name(),
                            new ServerHealth(
                                    settings.healthCheck(),
                                    entry.down(),
                                    entry.ejectionCount(),
                                    Math.min(nowUs, entry.changedUs()),
                                    Math.min(nowUs, entry.startedUs()))));
        }
        initialized = !snapshot.members().isEmpty();
        return decide(nowUs, new ArrayList<>());
    }

    /** Replaces all servers by the owner's description, without a confirmation period. */
    public Decision replaceAll(long nowUs, List<Member> members) {
        knownMembers.replaceAll(members);
        return decide(nowUs, new ArrayList<>());
    }

    /** Handles a complete list of servers from an HTTP source or a watched file. */
    public Decision updateFromSource(long nowUs, List<Member> listed) {
        List<String> messages = new ArrayList<>();
        if (initialized) {
            knownMembers.update(nowUs, listed, messages);
        } else {
            knownMembers.replaceAll(listed);
        }
        return decide(nowUs, messages);
    }

    /** Records the result of a health check; ignored if the server is no longer a member. */
    public Decision recordCheck(long nowUs, String name, boolean passed) {
        ServerHealth serverHealth = healthByName.get(name);
        List<String> messages = new ArrayList<>();
        if (serverHealth != null && serverHealth.recordCheck(nowUs, passed)) {
            messages.add("server " + name
                    + (serverHealth.isExcluded()
                            ? " fails its checks: it gets nothing new"
                            : " passes its checks: it receives requests again"));
        }
        return decide(nowUs, messages);
    }

    /** Applies the changes that are due by now. */
    public Decision tick(long nowUs) {
        List<String> messages = new ArrayList<>();
        knownMembers.confirmLosses(nowUs, messages);
        return decide(nowUs, messages);
    }

    /** All servers, as in the last decision. */
    public List<MemberStatus> servers() {
        return currentServers;
    }

    /** Whether no server is known. */
    public boolean isEmpty() {
        return currentServers.isEmpty();
    }

    /** Time at which {@link #tick} has to run next; {@link Long#MAX_VALUE} if nothing is due. */
    public long nextTickUs() {
        return knownMembers.nextConfirmationUs();
    }

    /** Servers to be health-checked: all that are not draining according to their source. */
    public List<Member> serversToCheck() {
        return settings.healthCheck() == null
                ? List.of()
                : knownMembers.members().stream()
                        .filter(member -> !member.draining())
                        .toList();
    }

    /** Captures the state that the next process of this application can {@link #restore}. */
    public MembershipSnapshot snapshot(String app, long nowUs) {
        return new MembershipSnapshot(
                app,
                nowUs,
                knownMembers.members().stream()
                        .map(member -> {
                            ServerHealth serverHealth = healthByName.get(member.name());
                            return serverHealth == null
                                    ? new MembershipSnapshot.MemberRecord(member, false, 0, 0, startedUs(member))
                                    : new MembershipSnapshot.MemberRecord(
                                            member,
                                            serverHealth.isEjected(),
                                            serverHealth.ejectionCount(),
                                            serverHealth.changedUs(),
                                            startedUs(member));
                        })
                        .toList());
    }

    // ---------------------------------------------------------------- decisions

    private Decision decide(long nowUs, List<String> messages) {
        List<Member> members = knownMembers.members();
        List<String> names = members.stream().map(Member::name).toList();
        joinsByName.keySet().retainAll(names);
        healthByName.keySet().retainAll(names);
        for (Member member : members) {
            Join join = joinsByName.get(member.name());
            boolean isNew = join == null || !join.address.equals(member.address());
            if (isNew) {
                // A server that is present at the start of the process has most likely been running for long.
                joinsByName.put(member.name(), new Join(member.address(), initialized ? nowUs : 0));
            }
            if (settings.healthCheck() != null && (isNew || !healthByName.containsKey(member.name()))) {
                healthByName.put(member.name(), new ServerHealth(settings.healthCheck(), isNew && initialized, nowUs));
            }
        }
        initialized |= !members.isEmpty();
        List<String> ejected = ejectedNames(members, messages);
        List<MemberStatus> servers = new ArrayList<>();
        for (Member member : members) {
            servers.add(
                    new MemberStatus(member, member.draining() || ejected.contains(member.name()), startedUs(member)));
        }
        if (servers.equals(currentServers)) {
            return new Decision(null, messages);
        }
        currentServers = List.copyOf(servers);
        return new Decision(currentServers, messages);
    }

    private long startedUs(Member member) {
        ServerHealth serverHealth = healthByName.get(member.name());
        return Math.max(joinsByName.get(member.name()).joinedUs, serverHealth == null ? 0 : serverHealth.startedUs());
    }

    /** Servers excluded by their checks; if they are too many, those that have been excluded longest. */
    private List<String> ejectedNames(List<Member> members, List<String> messages) {
        if (settings.healthCheck() == null) {
            return List.of();
        }
        List<String> ready = members.stream()
                .filter(member -> !member.draining())
                .map(Member::name)
                .toList();
        List<String> failing = ready.stream()
                .filter(name -> healthByName.get(name).isExcluded())
                .sorted(Comparator.comparingLong(
                        (String name) -> healthByName.get(name).changedUs()))
                .toList();
        int maxEjectedCount = (int) Math.floor(settings.healthCheck().maxEjectedRatio() * ready.size());
        boolean tooMany = failing.size() > maxEjectedCount;
        if (tooMany != ejectionCapped) {
            ejectionCapped = tooMany;
            messages.add(
                    tooMany
                            ? failing.size() + " of " + ready.size()
                                    + " servers fail their checks: no more than " + maxEjectedCount
                                    + " are taken out, as the checks may be wrong"
                            : "health checks apply in full again: "
                                    + failing.size()
                                    + " of " + ready.size() + " servers fail theirs");
        }
        return tooMany ? failing.subList(0, maxEjectedCount) : failing;
    }
}
