package kitemux;

import kitemux.node.Node;

/** One program in two modes: a real node, or the adapter that hosts instances for the bench. */
public final class Main {
    private Main() { }

    /** Starts the mode that the one argument names. */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "adapter" -> kitemux.adapter.Main.run();
            case "node" -> Node.run(System.getenv());
            default -> {
                System.err.println("usage: java -jar kitemux.jar adapter | node");
                System.exit(2);
            }
        }
    }
}
