package kitemux.keeper;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import kitemux.rollout.Voter;

/**
 * Settings of a keeper.
 *
 * @param number number of this keeper, from 0
 * @param keeperAddresses address of each keeper, by number
 * @param listenAddress address to listen on; usually the address at its own number
 * @param folder folder of its records
 * @param initialVoters initial set of voters, the same at all keepers
 * @param nodeCount number of nodes, which are numbered from 0
 */
public record KeeperSettings(
        int number,
        List<InetSocketAddress> keeperAddresses,
        InetSocketAddress listenAddress,
        Path folder,
        List<Voter> initialVoters,
        int nodeCount) {}
