package kitemux.disk;

import java.io.IOException;
import java.util.List;

/**
 * A directory for durable records, with the operations that they need. Written data is durable once
 * {@link OutputFile#sync} has returned; the creation, renaming or deletion of a file is durable once
 * {@link #syncDirectory} has returned.
 */
public interface Disk {
    /** A file that is open for appending. */
    interface OutputFile extends AutoCloseable {
        /** Writes all bytes; after a failure any part of them may have been written. */
        void write(byte[] bytes) throws IOException;

        /** Waits until all written data is durable. */
        void sync() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Returns the names of the files in the directory, in no particular order. */
    List<String> list() throws IOException;

    /** Returns the complete contents of a file. */
    byte[] read(String name) throws IOException;

    /** Returns the size of a file in bytes. */
    long size(String name) throws IOException;

    /** Creates a file; fails if a file of this name exists. */
    OutputFile create(String name) throws IOException;

    /** Truncates an existing file to the given length in bytes and opens it for appending. */
    OutputFile append(String name, long length) throws IOException;

    /** Renames a file and replaces a file that already has the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** Waits until all creations, renamings and deletions of files are durable. */
    void syncDirectory() throws IOException;
}
