package kitemux.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which servers a process may send to: by what a source of membership tells, by what checks find, and by how
 * far
 * either is believed. Pure: who reads lists, asks servers and lets time pass is not its affair. One thread
 * calls it;
 * times are microseconds that never go backwards.
 */
public final class Membership {
    private final MemberSettings settings;
    private final KnownMembers knownMembers;
    private final Map<String, ServerHealth> healthByName = new LinkedHashMap<>();
    /** When those came that were not there from the beginning, or came to another address. */
    private final Map<String, Join> joinsByName = new LinkedHashMap<>();

    private List<MemberStatus> currentServers = List.of();
    private boolean initialized;
    private boolean ejectionCapped;

    private record Join(String address, long joinedUs) {}

    /**
     * A server as the node is to be told of it.
     *
     * @param draining whether it gets nothing new: because it drains, or because checks have taken it out
     * @param startedUs when it was last seen to begin; 0 for long ago
     */
    public record MemberStatus(Member member, boolean draining, long startedUs) {}

    /**
     * What came of an event.
     *
     * @param servers all servers, or null where nothing has changed
     * @param messages lines for the operators
     */
    public record Decision(List<MemberStatus> servers, List<String> messages) {}

    /** Knows nobody yet. */
    public Membership(MemberSettings settings) {
        this.settings = settings;
        knownMembers = new KnownMembers(settings.maxLostRatio(), settings.lossConfirmationUs());
    }

    /** Begins with what an earlier process of the same application knew, before anything else is told. */
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

    /** The owner's own word: nothing of it is doubted. */
    public Decision replaceAll(long nowUs, List<Member> members) {
        knownMembers.replaceAll(members);
        return decide(nowUs, new ArrayList<>());
    }

    /** A list or a watched file has told all servers. */
    public Decision updateFromSource(long nowUs, List<Member> listed) {
        List<String> messages = new ArrayList<>();
        if (initialized) {
            knownMembers.update(nowUs, listed, messages);
        } else {
            knownMembers.replaceAll(listed);
        }
        return decide(nowUs, messages);
    }

    /** A check of a server is over; one that is no member any more is passed over. */
    public Decision recordCheck(long nowUs, String name, boolean passed) {
        ServerHealth serverHealth = healthByName.get(name);
        List<String> messages = new ArrayList<>();
        if (serverHealth != null && serverHealth.recordCheck(nowUs, passed)) {
            messages.add("server " + name
                    + (serverHealth.isExcluded()
                            ? " fails its checks: it gets nothing new"
                            : " passes its checks: it gets its part"));
        }
        return decide(nowUs, messages);
    }

    /** Time has passed. */
    public Decision tick(long nowUs) {
        List<String> messages = new ArrayList<>();
        knownMembers.confirmLosses(nowUs, messages);
        return decide(nowUs, messages);
    }

    /** All servers, as they were told last. */
    public List<MemberStatus> servers() {
        return currentServers;
    }

    /** Whether no server is known. */
    public boolean isEmpty() {
        return currentServers.isEmpty();
    }

    /** When {@link #tick} has something to do next, for whoever waits; the clock's end if it has not. */
    public long nextTickUs() {
        return knownMembers.nextConfirmationUs();
    }

    /** Servers that are to be checked: all that have not been told to drain. */
    public List<Member> serversToCheck() {
        return settings.healthCheck() == null
                ? List.of()
                : knownMembers.members().stream()
                        .filter(member -> !member.draining())
                        .toList();
    }

    /** What the next process of this application may begin with. */
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

    // ---------------------------------------------------------------- what follows

    private Decision decide(long nowUs, List<String> messages) {
        List<Member> members = knownMembers.members();
        List<String> names = members.stream().map(Member::name).toList();
        joinsByName.keySet().retainAll(names);
        healthByName.keySet().retainAll(names);
        for (Member member : members) {
            Join join = joinsByName.get(member.name());
            boolean isNew = join == null || !join.address.equals(member.address());
            if (isNew) {
                // Who is there as the process begins has most likely been there for long.
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

    /** Who is out by its checks: of too many, those that have been out for longest. */
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
                            : "checks are believed again: "
                                    + failing.size()
                                    + " of " + ready.size() + " servers fail theirs");
        }
        return tooMany ? failing.subList(0, maxEjectedCount) : failing;
    }
}
