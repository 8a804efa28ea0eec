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
 * A folder with the results of an experiment: its description, the build that was used, and one line for each run. An
 * interrupted run leaves an incomplete line or none and is executed again; completed runs are stored once.
 */
public final class ResultsFolder {
    private static final String RUNS_FILE = "runs.tsv";

    private final Path folder;

    private ResultsFolder(Path folder) {
        this.folder = folder;
    }

    /**
     * Opens an existing folder.
     *
     * @throws IOException if the folder holds no results
     */
    public static ResultsFolder open(Path folder) throws IOException {
        if (!Files.isRegularFile(folder.resolve(RUNS_FILE))) {
            throw new IOException(folder + " holds no results: " + RUNS_FILE + " is missing");
        }
        return new ResultsFolder(folder);
    }

    /**
     * Opens the folder of an experiment, and creates it if it does not exist.
     *
     * @param texts the texts that identify the experiment and the build, by the names of the files that store them
     * @throws IOException if the folder cannot be written or holds results of another experiment or build; the
     *     message names the file that differs
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
                        + " differs; use another folder or remove that one");
            }
        }
        Path runs = folder.resolve(RUNS_FILE);
        if (!Files.exists(runs)) {
            Files.writeString(runs, ResultRow.HEADER + "\n");
        }
        return new ResultsFolder(folder);
    }

    /**
     * Returns the results in the folder.
     *
     * @throws IOException if a complete line is invalid; the message names the line and the reason
     */
    public List<ResultRow> rows() throws IOException {
        List<ResultRow> rows = new ArrayList<>();
        String text = Files.readString(folder.resolve(RUNS_FILE));
        int completeLength = text.lastIndexOf('\n');
        String[] lines = completeLength < 0
                ? new String[0]
                : text.substring(0, completeLength).split("\n");
        for (int i = 1; i < lines.length; i++) {
            try {
                rows.add(ResultRow.parse(lines[i]));
            } catch (IllegalArgumentException e) {
                throw new IOException(folder.resolve(RUNS_FILE) + ", line " + (i + 1) + ": " + e.getMessage(), e);
            }
        }
        return rows;
    }

    /** Appends a result. An incomplete last line of an interrupted run is removed first. */
    public synchronized void append(ResultRow row) throws IOException {
        Path runs = folder.resolve(RUNS_FILE);
        byte[] content = Files.readAllBytes(runs);
        int completeLength = content.length;
        while (completeLength > 0 && content[completeLength - 1] != '\n') {
            completeLength--;
        }
        try (FileChannel file = FileChannel.open(runs, StandardOpenOption.WRITE)) {
            file.truncate(completeLength);
            ByteBuffer line = ByteBuffer.wrap((row.toLine() + "\n").getBytes(StandardCharsets.UTF_8));
            file.position(completeLength);
            while (line.hasRemaining()) {
                file.write(line);
            }
            file.force(true);
        }
    }

    /** Returns the text of a file in the folder. */
    public String readText(String name) throws IOException {
        return Files.readString(folder.resolve(name));
    }

    /**
     * Writes a file, such as a page, into the folder.
     *
     * @return the path of the file
     */
    public Path writeText(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }
}
