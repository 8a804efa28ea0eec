package kitemux.lab;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Where an experiment's runs are kept: what was described, by what it was played, and a line for each run. A
 * run that was cut off left no whole line and is played again; nothing else is written twice.
 */
public final class ResultsFolder {
    private static final String RUNS = "runs.tsv";

    private final Path folder;

    private ResultsFolder(Path folder) {
        this.folder = folder;
    }

    /**
     * One that is there.
     *
     * @throws IOException if there is none; the message says so
     */
    public static ResultsFolder open(Path folder) throws IOException {
        if (!Files.isRegularFile(folder.resolve(RUNS))) {
            throw new IOException(folder + " holds no results: " + RUNS + " is not there");
        }
        return new ResultsFolder(folder);
    }

    /**
     * Makes one, or opens the one that is there for the same.
     *
     * @param texts what is described and by what it is played, by the names of the files that keep it
     * @throws IOException if it cannot be written, or holds the results of something else; the message
     * says of
     *     which file
     */
    public static ResultsFolder openOrCreate(Path folder, Map<String, String> texts) throws IOException {
        Files.createDirectories(folder);
        for (Map.Entry<String, String> text : texts.entrySet()) {
            Path file = folder.resolve(text.getKey());
            if (!Files.exists(file)) {
                Files.writeString(file, text.getValue());
            } else if (!Files.readString(file).equals(text.getValue())) {
                throw new IOException(folder + " holds results of another experiment or build: "
                        + text.getKey()
                        + " differs; take another folder, or take that one away");
            }
        }
        Path runs = folder.resolve(RUNS);
        if (!Files.exists(runs)) {
            Files.writeString(runs, ResultRow.HEADER + "\n");
        }
        return new ResultsFolder(folder);
    }

    /**
     * The runs that are there.
     *
     * @throws IOException if a line that is whole cannot be read; the message says which and why
     */
    public List<ResultRow> rows() throws IOException {
        List<ResultRow> rows = new ArrayList<>();
        String text = Files.readString(folder.resolve(RUNS));
        int whole = text.lastIndexOf('\n');
        String[] lines = whole < 0 ? new String[0] : text.substring(0, whole).split("\n");
        for (int i = 1; i < lines.length; i++) {
            try {
                rows.add(ResultRow.parse(lines[i]));
            } catch (IllegalArgumentException e) {
                throw new IOException(folder.resolve(RUNS) + ", line " + (i + 1) + ": " + e.getMessage(), e);
            }
        }
        return rows;
    }

    /** Keeps a run. What a cut-off one left behind the last whole line goes first. */
    public synchronized void append(ResultRow row) throws IOException {
        Path runs = folder.resolve(RUNS);
        byte[] there = Files.readAllBytes(runs);
        int whole = there.length;
        while (whole > 0 && there[whole - 1] != '\n') {
            whole--;
        }
        try (FileChannel file = FileChannel.open(runs, StandardOpenOption.WRITE)) {
            file.truncate(whole);
            ByteBuffer line = ByteBuffer.wrap((row.toLine() + "\n").getBytes(StandardCharsets.UTF_8));
            file.position(whole);
            while (line.hasRemaining()) {
                file.write(line);
            }
            file.force(true);
        }
    }

    /** A text that is kept beside the runs. */
    public String readText(String name) throws IOException {
        return Files.readString(folder.resolve(name));
    }

    /** Keeps a page or a chart beside the runs; returns where. */
    public Path writeText(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }
}
