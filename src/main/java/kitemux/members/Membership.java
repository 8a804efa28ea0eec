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
    private final Belief belief;
    private final Map<String, Health> health = new LinkedHashMap<>();
    /** When those came that were not there from the beginning, or came to another address. */
    private final Map<String, Joined> joined = new LinkedHashMap<>();

    private List<MemberStatus> holds = List.of();
    private boolean begun;
    private boolean open;

    private record Joined(String address, long atUs) {}

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
        belief = new Belief(settings.maxLostRatio(), settings.lossConfirmationUs());
    }

    /** Begins with what an earlier process of the same application knew, before anything else is told. */
    public Decision restore(long nowUs, MembershipSnapshot saved) {
        belief.set(saved.members().stream()
                .map(MembershipSnapshot.MemberRecord::member)
                .toList());
        saved.members()
                .forEach(one -> joined.put(
                        one.member().name(), new Joined(one.member().address(), Math.min(nowUs, one.startedUs()))));
        if (settings.healthCheck() != null) {
            saved.members()
                    .forEach(one -> health.put(
                            one.member().name(),
                            new Health(
                                    settings.healthCheck(),
                                    one.down(),
                                    one.ejectionCount(),
                                    Math.min(nowUs, one.changedUs()),
                                    Math.min(nowUs, one.startedUs()))));
        }
        begun = !saved.members().isEmpty();
        return decide(nowUs, new ArrayList<>());
    }

    /** The owner's own word: nothing of it is doubted. */
    public Decision replaceAll(long nowUs, List<Member> all) {
        belief.set(all);
        return decide(nowUs, new ArrayList<>());
    }

    /** A list or a watched file has told all servers. */
    public Decision updateFromSource(long nowUs, List<Member> all) {
        List<String> say = new ArrayList<>();
        if (begun) {
            belief.told(nowUs, all, say);
        } else {
            belief.set(all);
        }
        return decide(nowUs, say);
    }

    /** A check of a server is over; one that is no member any more is passed over. */
    public Decision recordCheck(long nowUs, String name, boolean passed) {
        Health of = health.get(name);
        List<String> say = new ArrayList<>();
        if (of != null && of.checked(nowUs, passed)) {
            say.add("server " + name
                    + (of.isOut() ? " fails its checks: it gets nothing new" : " passes its checks: it gets its part"));
        }
        return decide(nowUs, say);
    }

    /** Time has passed. */
    public Decision tick(long nowUs) {
        List<String> say = new ArrayList<>();
        belief.settle(nowUs, say);
        return decide(nowUs, say);
    }

    /** All servers, as they were told last. */
    public List<MemberStatus> servers() {
        return holds;
    }

    /** Whether no server is known. */
    public boolean isEmpty() {
        return holds.isEmpty();
    }

    /** When {@link #tick} has something to do next, for whoever waits; the clock's end if it has not. */
    public long nextTickUs() {
        return belief.nextUs();
    }

    /** Servers that are to be checked: all that have not been told to drain. */
    public List<Member> serversToCheck() {
        return settings.healthCheck() == null
                ? List.of()
                : belief.members().stream().filter(member -> !member.draining()).toList();
    }

    /** What the next process of this application may begin with. */
    public MembershipSnapshot snapshot(String app, long nowUs) {
        return new MembershipSnapshot(
                app,
                nowUs,
                belief.members().stream()
                        .map(member -> {
                            Health of = health.get(member.name());
                            return of == null
                                    ? new MembershipSnapshot.MemberRecord(member, false, 0, 0, startedUs(member))
                                    : new MembershipSnapshot.MemberRecord(
                                            member, of.isDown(), of.downs(), of.changedUs(), startedUs(member));
                        })
                        .toList());
    }

    // ---------------------------------------------------------------- what follows

    private Decision decide(long nowUs, List<String> say) {
        List<Member> members = belief.members();
        List<String> names = members.stream().map(Member::name).toList();
        joined.keySet().retainAll(names);
        health.keySet().retainAll(names);
        for (Member member : members) {
            Joined known = joined.get(member.name());
            boolean isNew = known == null || !known.address.equals(member.address());
            if (isNew) {
                // Who is there as the process begins has most likely been there for long.
                joined.put(member.name(), new Joined(member.address(), begun ? nowUs : 0));
            }
            if (settings.healthCheck() != null && (isNew || !health.containsKey(member.name()))) {
                health.put(member.name(), new Health(settings.healthCheck(), isNew && begun, nowUs));
            }
        }
        begun |= !members.isEmpty();
        List<String> out = out(members, say);
        List<MemberStatus> serving = new ArrayList<>();
        for (Member member : members) {
            serving.add(new MemberStatus(member, member.draining() || out.contains(member.name()), startedUs(member)));
        }
        if (serving.equals(holds)) {
            return new Decision(null, say);
        }
        holds = List.copyOf(serving);
        return new Decision(holds, say);
    }

    private long startedUs(Member member) {
        Health of = health.get(member.name());
        return Math.max(joined.get(member.name()).atUs, of == null ? 0 : of.startedUs());
    }

    /** Who is out by its checks: of too many, those that have been out for longest. */
    private List<String> out(List<Member> members, List<String> say) {
        if (settings.healthCheck() == null) {
            return List.of();
        }
        List<String> ready = members.stream()
                .filter(member -> !member.draining())
                .map(Member::name)
                .toList();
        List<String> failing = ready.stream()
                .filter(name -> health.get(name).isOut())
                .sorted(Comparator.comparingLong(
                        (String name) -> health.get(name).changedUs()))
                .toList();
        int most = (int) Math.floor(settings.healthCheck().maxEjectedRatio() * ready.size());
        boolean tooMany = failing.size() > most;
        if (tooMany != open) {
            open = tooMany;
            say.add(
                    tooMany
                            ? failing.size() + " of " + ready.size()
                                    + " servers fail their checks: no more than " + most
                                    + " are taken out, as the checks may be wrong"
                            : "checks are believed again: "
                                    + failing.size()
                                    + " of " + ready.size() + " servers fail theirs");
        }
        return tooMany ? failing.subList(0, most) : failing;
    }
}
