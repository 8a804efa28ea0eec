package kitemux.deploy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks a deploy file against the rules of the platform that runs a fleet. A node must be a single process that
 * replaces the shell, is dynamically linked against the C library, uses IPv4 sockets only and starts no other program.
 */
final class DeployLines {
    /** Shell syntax beyond the words of a single command. */
    private static final Pattern SHELL_SYNTAX = Pattern.compile("[;&|<>`\\n(){}$]");
    /** JVM options that start a shell, or that open a listener or another socket. */
    private static final List<String> FORBIDDEN_OPTIONS = List.of(
            "-XX:OnError",
            "-XX:OnOutOfMemoryError",
            "-agentlib:",
            "-agentpath:",
            "-javaagent:",
            "-Dcom.sun.management.jmxremote");

    private static final String IPV4_OPTION = "-Djava.net.preferIPv4Stack=true";
    private static final int ELF_MAGIC = 0x7f454c46;
    private static final int INTERPRETER_SEGMENT = 3;

    private DeployLines() {}

    /**
     * Returns all faults of a deploy file, one line each with the field, its value and the reason.
     *
     * @param path folders in which programs are searched, as in the environment variable PATH
     * @throws IOException if the file cannot be read or is not TOML
     */
    static List<String> findFaults(String toml, List<Path> path) throws IOException {
        JsonNode file = new TomlMapper().readTree(toml);
        List<String> faults = new ArrayList<>();
        for (String field : List.of("build", "run", "sim")) {
            JsonNode line = file.path(field);
            if (!line.isTextual() || line.asText().isBlank()) {
                faults.add(field + ": missing, or no text");
            } else if (!field.equals("build")) {
                checkCommand(field, line.asText(), path, faults);
            }
        }
        for (String field : List.of("policy", "node")) {
            if (!file.path(field).isArray() || file.path(field).isEmpty()) {
                faults.add(field + ": missing, or no list of files");
            }
        }
        return faults;
    }

    private static void checkCommand(String field, String line, List<Path> path, List<String> faults)
            throws IOException {
        String fault = field + " = \"" + line + "\": ";
        Matcher shell = SHELL_SYNTAX.matcher(line);
        if (shell.find()) {
            faults.add(fault + "holds '" + shell.group() + "': a shell would have more to do than exec");
            return;
        }
        List<String> words = List.of(line.trim().split("\\s+"));
        if (!words.get(0).equals("exec") || words.size() < 2) {
            faults.add(fault + "does not begin with exec: the shell stays, as a second process");
            return;
        }
        String reason = programFault(words.get(1), path);
        if (reason != null) {
            faults.add(fault + reason);
        }
        for (String word : words) {
            FORBIDDEN_OPTIONS.stream()
                    .filter(word::startsWith)
                    .forEach(other -> faults.add(
                            fault + other + " starts another program, or opens a socket that nobody asked for"));
        }
        if (field.equals("run") && !words.contains(IPV4_OPTION)) {
            faults.add(fault + "lacks " + IPV4_OPTION + ": the JVM's sockets would be of IPv6");
        }
    }

    /** Returns what is wrong with a program, or null. */
    private static String programFault(String program, List<Path> path) throws IOException {
        Path found = program.contains("/")
                ? Path.of(program)
                : path.stream()
                        .map(p -> p.resolve(program))
                        .filter(Files::isExecutable)
                        .findFirst()
                        .orElse(null);
        if (found == null || !Files.isExecutable(found)) {
            return program + " is not found";
        }
        ByteBuffer bytes = ByteBuffer.allocate(64 << 10);
        try (FileChannel file = FileChannel.open(found, StandardOpenOption.READ)) {
            while (bytes.hasRemaining() && file.read(bytes) >= 0) {
                // Reads until the buffer is full or the file ends.
            }
        }
        bytes.flip();
        if (bytes.remaining() < 64 || bytes.getInt(0) != ELF_MAGIC) {
            return program + " is no ELF program: what it starts may be a second process";
        }
        if (!hasInterpreter(bytes.order(ByteOrder.LITTLE_ENDIAN))) {
            return program + " is linked statically: the bench's library cannot be loaded into it";
        }
        return found.toRealPath().getFileName().toString().equals("java")
                ? null
                : program + " is not the JVM: a wrapper may start the node as a second process";
    }

    /** Returns whether a program header of a 64-bit ELF file names a dynamic linker. */
    private static boolean hasInterpreter(ByteBuffer elf) {
        long first = elf.getLong(32);
        int size = Short.toUnsignedInt(elf.getShort(54));
        int count = Short.toUnsignedInt(elf.getShort(56));
        for (int i = 0; i < count && first + (long) i * size + 4 <= elf.limit(); i++) {
            if (elf.getInt((int) first + i * size) == INTERPRETER_SEGMENT) {
                return true;
            }
        }
        return false;
    }
}
