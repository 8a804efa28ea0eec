package kitemux.keeper;

import io.netty.channel.ChannelFuture;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import kitemux.disk.FolderDisk;
import kitemux.engine.Log;
import kitemux.net.EventLoopClock;
import kitemux.net.NioNetwork;
import kitemux.net.PollingLoop;
import kitemux.net.SelectorLoop;
import kitemux.rollout.ProtocolParameters;

/** A process that is a keeper: the folder's lock, the loop, and the end. */
public final class KeeperProcess {
    /** Of a process that cannot write to its folder any more. */
    private static final int CANNOT_WRITE = 1;

    private KeeperProcess() {}

    /** Who writes to a folder holds its lock. */
    private static FolderDisk folder(Path folder) throws IOException {
        if (FolderDisk.isLockedByWriter(folder)) {
            throw new IOException("another process writes to " + folder);
        }
        return FolderDisk.openForWriting(folder);
    }

    /**
     * Makes a keeper's folder; one that is there stays as it is.
     *
     * @return the voter as settings name it
     * @throws IOException if it cannot be used; the message says why
     */
    public static String initializeFolder(Path folder, int number, Log log) throws IOException {
        try (FolderDisk disk = folder(folder)) {
            return Keeper.initializeFolder(disk, number, new SecureRandom()::nextLong, log);
        }
    }

    /**
     * Starts the one keeper of this process; it ends with it.
     *
     * @throws IOException if it cannot start; the message says why
     */
    public static void start(KeeperSettings settings, Log log) throws IOException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        PollingLoop loop = SelectorLoop.open();
        Keeper keeper;
        try {
            keeper = Keeper.open(
                    settings,
                    ProtocolParameters.defaults(),
                    new ConfigRules(),
                    new Keeper.Environment(loop, NioNetwork.SYSTEM, EventLoopClock.of(loop), log),
                    folder(settings.folder()),
                    new SecureRandom()::nextLong,
                    failed -> {
                        // Whoever cannot write must not answer: no hook may hold the end up.
                        log.info("folder: cannot be written: " + failed + "; this keeper ends");
                        Runtime.getRuntime().halt(CANNOT_WRITE);
                    });
        } catch (IOException e) {
            throw new IOException("folder cannot be used: " + e.getMessage(), e);
        }
        if (!settings.initialVoters().contains(keeper.voter())) {
            log.info("the settings name no voter " + keeper.voter() + ": unless a version does, it learns "
                    + "and does not vote");
        }
        ChannelFuture listens = keeper.listen().awaitUninterruptibly();
        if (!listens.isSuccess()) {
            throw new IOException("listen " + settings.listenAddress() + ": "
                    + listens.cause().getMessage());
        }
        log.info("keeper " + keeper.voter() + " is called at "
                + listens.channel().localAddress());
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                keeper.close();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "end"));
    }
}
