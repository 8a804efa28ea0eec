package kitemux.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How a command of a build is run: as the deployment beside it says. */
public final class Builds {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"exec java (.*) -jar ");

    private Builds() {}

    /**
     * A command of a build, run as its own deployment says and from its own folder: flags, archive and what
     * they name belong to the build as its code does. One that stands alone is run with no flags.
     *
     * @param before what is put before the command, such as what pins it to a processor; may be empty
     * @throws IOException if the deployment cannot be read
     */
    public static ProcessBuilder java(List<String> before, Path jar, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(before);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        Path root = jar.toAbsolutePath().normalize().getParent().getParent();
        Path deploy = root == null ? null : root.resolve("deploy").resolve("balancer.toml");
        Matcher run = RUN.matcher(deploy != null && Files.exists(deploy) ? Files.readString(deploy) : "");
        boolean deployed = run.find();
        if (deployed) {
            command.addAll(List.of(run.group(1).split(" ")));
        }
        command.addAll(List.of(
                "-jar",
                deployed
                        ? root.relativize(jar.toAbsolutePath().normalize()).toString()
                        : jar.toAbsolutePath().toString()));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command).directory(deployed ? root.toFile() : null);
    }
}
