package kitemux.adapter;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** Hosts instances of the decision module for the bench, over the wire protocol on standard input and output. */
public final class Main {
    private Main() {}

    /**
     * Runs until the input ends. Malformed input ends the process with one line on standard error and exit code 2.
     */
    public static void run() {
        try {
            new Link(System.in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException | IOException e) {
            System.err.println("kitemux: " + e.getMessage());
            System.exit(2);
        }
    }
}
