package kitemux.scale;

import java.util.ArrayList;
import java.util.List;
import kitemux.cli.Main;

/** Processes of the classes that are tested, as no jar has been made of them yet. */
final class Processes implements Commands {
    private static ProcessBuilder java(List<String> flags, String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElseThrow(), "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(flags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
        command.addAll(List.of(arguments));
        return new ProcessBuilder(command);
    }

    @Override
    public ProcessBuilder node() {
        return java(List.of("-Xmx64m"), "node");
    }

    @Override
    public ProcessBuilder hollow(int processes) {
        return java(Commands.roomy(processes), "scale", "hollow");
    }

    /** Runs what a description names, in a process that starts others as this one does. */
    static ProcessBuilder run(String... arguments) {
        ProcessBuilder builder = java(List.of(), arguments);
        int main = builder.command().indexOf(Main.class.getName());
        builder.command().set(main, RunAlone.class.getName());
        return builder;
    }
}
