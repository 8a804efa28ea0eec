package kitemux.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts a command of a build with the JVM flags of the deployment file beside it. */
public final class BuildCommand {
    private static final Pattern RUN_FLAGS = Pattern.compile("(?m)^run = \"exec java (.*) -jar ");

    private BuildCommand() {}

    /**
     * Returns a process builder for a command of a build. It runs in the build's own folder with the flags of its own
     * deployment file, since the flags and the class archive that they name belong to the build. A jar without a
     * deployment file runs without flags.
     *
     * @param prefix what stands before the command, such as a command that pins it to a processor; may be empty
     * @throws IOException if the deployment file cannot be read
     */
    public static ProcessBuilder create(List<String> prefix, Path jar, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(prefix);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        Path absoluteJar = jar.toAbsolutePath().normalize();
        Path root = absoluteJar.getParent().getParent();
        Path deployment = root == null ? null : root.resolve("deploy").resolve("balancer.toml");
        Matcher flags =
                RUN_FLAGS.matcher(deployment != null && Files.exists(deployment) ? Files.readString(deployment) : "");
        boolean isDeployed = flags.find();
        if (isDeployed) {
            command.addAll(List.of(flags.group(1).split(" ")));
        }
        command.addAll(List.of("-jar", (isDeployed ? root.relativize(absoluteJar) : jar.toAbsolutePath()).toString()));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command).directory(isDeployed ? root.toFile() : null);
    }
}
