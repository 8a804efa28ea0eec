package kitemux.cli;

import java.util.Map;
import java.util.concurrent.Callable;
import kitemux.node.Node;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * One program with several commands. The two that are started often, and under load, take no arguments and
 * are begun without the library that reads those of the others.
 */
public final class Main {
    /** What all commands mean by their exit codes: done, something was found, the call cannot be used. */
    static final int DONE = 0;

    static final int FOUND = 1;
    static final int UNUSABLE = 2;

    private Main() {}

    /** Starts the command that the arguments name. */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "adapter" -> kitemux.adapter.Main.run();
            case "node" -> Node.run(System.getenv());
            default -> System.exit(execute(args));
        }
    }

    /** Runs a command that ends by itself; its exit code. */
    static int execute(String... args) {
        CommandLine line = new CommandLine(new Kitemux());
        line.setParameterExceptionHandler((e, given) -> {
            e.getCommandLine().getErr().println("kitemux: " + e.getMessage().replace('\n', ' '));
            return UNUSABLE;
        });
        return line.execute(args);
    }

    /** The program. */
    @Command(
            name = "kitemux",
            mixinStandardHelpOptions = true,
            version = "kitemux " + Version.TEXT,
            description = "A load-balancing proxy node and what belongs to it.",
            subcommands = {
                NodeCommand.class,
                AdapterCommand.class,
                FaultsCommand.class,
                BenchCommand.class,
                OrdersCommand.class,
                PlanCommand.class,
                LabCommand.class,
                LoadCommand.class,
                ConfigCommand.class,
                SidecarCommand.class,
                TryCommand.class,
                DrillCommand.class,
                ScaleCommand.class,
                KeepCommand.class,
                SoakCommand.class
            })
    static final class Kitemux implements Callable<Integer> {
        @Override
        public Integer call() {
            System.err.println("kitemux: no command is given; --help lists them");
            return UNUSABLE;
        }
    }

    /** Named for the help; {@link #main} starts it unless it is given arguments. */
    @Command(
            name = "node",
            mixinStandardHelpOptions = true,
            description = {
                "Runs a node until SIGTERM; SIGHUP reads its configuration again.",
                "The environment tells it what it needs: PROXY_CONFIG, PROXY_LISTEN, PROXY_DISCOVERY."
            })
    static final class NodeCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            Map<String, String> env = System.getenv();
            Node.run(env);
            return DONE;
        }
    }

    /** Named for the help, as above. */
    @Command(
            name = "adapter",
            mixinStandardHelpOptions = true,
            description = "Hosts instances of the decision module on standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            kitemux.adapter.Main.run();
            return DONE;
        }
    }
}
