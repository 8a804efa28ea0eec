package kitemux.world;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A machine with one process on it, as the network sees it. */
final class Machine {
    /** Takes in connections that come up; may be told of one at any time while it listens. */
    interface Acceptor {
        void incoming(End end);
    }

    final String name;
    final int number;
    final InetSocketAddress address;
    /** The ends of its connections that its process has not let go of. */
    final Set<End> ends = new LinkedHashSet<>();
    /** Who listens at the address; null: connections are refused. */
    Acceptor acceptor;
    /** Cut off, or vanished: nothing comes in or goes out, and nobody is told. */
    boolean silent;
    /**
     * What each thing costs that its process does in a turn, in nanoseconds: a read, a write, a dial; 0
     * where
     * no time passes within a turn. */
    long thingNanos;
    /** How long the turn that its process is in has taken so far, in nanoseconds; 0 between turns. */
    long spent;

    Machine(String name, int number, InetSocketAddress address) {
        this.name = name;
        this.number = number;
        this.address = address;
    }

    /** Its process does one thing more in this turn. */
    void does() {
        spent += thingNanos;
    }

    /** Its process ends: connections break and new ones are refused. */
    void die() {
        acceptor = null;
        for (End end : List.copyOf(ends)) {
            end.killed = true;
            end.abort();
        }
    }

    /** Its process has ended while the machine was cut off; what others hold open breaks when it is back. */
    void vanish() {
        silent = true;
        acceptor = null;
    }

    /** Back from having vanished: who still holds a connection to the old process hears that it is gone. */
    void reappear() {
        silent = false;
        for (End end : new ArrayList<>(ends)) {
            end.killed = true;
            end.abort();
        }
    }

    @Override
    public String toString() {
        return name;
    }
}
