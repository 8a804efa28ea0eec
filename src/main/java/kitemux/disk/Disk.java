package kitemux.disk;

import java.io.IOException;
import java.util.List;

/**
 * A folder that lasting records are kept in, and the few things that they need of one. What is written is
 * safe once {@link OutputFile#sync} has returned, a file's being there once {@link #syncDirectory} has.
 */
public interface Disk {
    /** A file that is written to at its end. */
    interface OutputFile extends AutoCloseable {
        /** Writes all of it, or fails with any part of it written. */
        void write(byte[] bytes) throws IOException;

        /** Waits until all that was written is safe. */
        void sync() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Names of the files in it, in no order. */
    List<String> list() throws IOException;

    /** All of a file. */
    byte[] read(String name) throws IOException;

    /** Bytes of a file. */
    long size(String name) throws IOException;

    /** A new file; fails if there is one of this name. */
    OutputFile create(String name) throws IOException;

    /** A file, cut to so many bytes first. */
    OutputFile append(String name, long from) throws IOException;

    /** Gives a file another name; one that has it already goes. */
    void rename(String from, String to) throws IOException;

    /** Takes a file away. */
    void delete(String name) throws IOException;

    /** Waits until files that were made, renamed or deleted are safely so. */
    void syncDirectory() throws IOException;
}
