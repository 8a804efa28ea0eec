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

/** Runs a keeper as a process: takes the lock of its folder, starts its event loop and handles shutdown. */
public final class KeeperProcess {
    /** Exit code of a keeper that can no longer write to its folder. */
    private static final int WRITE_FAILURE_EXIT_CODE = 1;

    private KeeperProcess() {}

    /** Opens a folder for writing and takes its lock, which every writer must hold. */
    private static FolderDisk lockFolder(Path folder) throws IOException {
        if (FolderDisk.isLockedByWriter(folder)) {
            throw new IOException("another process writes to " + folder);
        }
        return FolderDisk.openForWriting(folder);
    }

    /**
     * Initializes a keeper's folder; an initialized folder stays unchanged.
     *
     * @return the voter as it is written in settings
     * @throws IOException if the folder cannot be used; the message gives the reason
     */
    public static String initializeFolder(Path folder, int number, Log log) throws IOException {
        try (FolderDisk disk = lockFolder(folder)) {
            return Keeper.initializeFolder(disk, number, new SecureRandom()::nextLong, log);
        }
    }

    /**
     * Starts the only keeper of this process; it runs until the process exits.
     *
     * @throws IOException if the keeper cannot start; the message gives the reason
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
                    lockFolder(settings.folder()),
                    new SecureRandom()::nextLong,
                    failure -> {
                        // A keeper that cannot write must not respond, so shutdown hooks must not delay the exit.
                        log.info("folder: cannot be written: " + failure + "; this keeper ends");
                        Runtime.getRuntime().halt(WRITE_FAILURE_EXIT_CODE);
                    });
        } catch (IOException e) {
            throw new IOException("folder cannot be used: " + e.getMessage(), e);
        }
        if (!settings.initialVoters().contains(keeper.voter())) {
            log.info("the settings name no voter " + keeper.voter() + ": unless a version does, it learns "
                    + "and does not vote");
        }
        ChannelFuture listening = keeper.listen().awaitUninterruptibly();
        if (!listening.isSuccess()) {
            throw new IOException("listen " + settings.listenAddress() + ": "
                    + listening.cause().getMessage());
        }
        log.info("keeper " + keeper.voter() + " is called at "
                + listening.channel().localAddress());
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
