package kitemux.keeper;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import kitemux.rollout.Voter;

/**
 * What a keeper is told at its start.
 *
 * @param number its own among the keepers, from 0
 * @param keeperAddresses where each keeper is called, by number
 * @param listenAddress where it is called itself; as a rule the address at its own number
 * @param folder of its records
 * @param initialVoters the first voters, the same at all keepers
 * @param nodeCount how many nodes there are, numbered from 0
 */
public record KeeperSettings(
        int number,
        List<InetSocketAddress> keeperAddresses,
        InetSocketAddress listenAddress,
        Path folder,
        List<Voter> initialVoters,
        int nodeCount) {}
