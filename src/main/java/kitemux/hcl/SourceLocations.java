package kitemux.hcl;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Where in a description each field and block stands. The library that reads descriptions says nothing of
 * places, and forgives brackets that are left open; this looks at names and brackets alone, and leaves values
 * to it.
 */
public final class SourceLocations {
    private static final String FIRST = "[0]";

    private final String text;
    private final Map<String, int[]> places = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private final List<LabelledBlock> labelledBlocks = new ArrayList<>();
    /** Where the statement began that is being read. */
    private int statement;

    private final Set<String> once = new HashSet<>();
    private int at;
    private int line = 1;
    private int lineBegan;

    private SourceLocations(String text) {
        this.text = text;
    }

    /**
     * A block at the top that has a label, such as {@code server "web-1" { ... }}.
     *
     * @param start and {@code to}: where it stands in the text, the latter behind its bracket
     */
    record LabelledBlock(int start, int end) {}

    /** Blocks at the top that have a label, in order; those that are never closed are not among them. */
    List<LabelledBlock> labelledBlocks() {
        return List.copyOf(labelledBlocks);
    }

    /** Looks through a description. */
    public static SourceLocations of(String text) {
        SourceLocations places = new SourceLocations(text);
        places.scan();
        return places;
    }

    /**
     * Brackets that are left open or close nothing, and names that are there twice, of which a reader takes
     * one: one line each with its place; empty if there are none.
     */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /**
     * Faults of a description with their places, each beginning with the file. Brackets left open and
     * names that
     * are there twice come first, as others may follow from them.
     *
     * @param faults each begins with a field or a block, as {@link Section} names them
     */
    public static List<String> faultsWithLocations(String file, String text, List<String> faults) {
        SourceLocations places = of(text);
        List<String> all = new ArrayList<>();
        places.faults().forEach(fault -> all.add(file + ":" + fault));
        faults.forEach(fault -> all.add(places.withLocation(file, fault)));
        return all;
    }

    /**
     * A fault with its place in front: {@code FILE:LINE:COLUMN: FAULT}. Where what it begins with is not
     * there,
     * as it must be given and is not, the place is that of what it should stand in; without one it is the
     * file.
     *
     * @param fault begins with a field or a block, as {@link Section} names them
     */
    public String withLocation(String file, String fault) {
        int[] best = null;
        int length = -1;
        for (Map.Entry<String, int[]> place : places.entrySet()) {
            String path = place.getKey();
            boolean begins = fault.startsWith(path)
                    && (fault.length() == path.length() || ":.[ ".indexOf(fault.charAt(path.length())) >= 0);
            if (begins && path.length() > length) {
                best = place.getValue();
                length = path.length();
            }
        }
        return best == null ? file + ": " + fault : file + ":" + best[0] + ":" + best[1] + ": " + fault;
    }

    // ---------------------------------------------------------------- the text

    /**
     * @param start where a labelled block at the top begins; -1 for all others
     */
    private record Open(char bracket, String path, int line, int column, Map<String, Integer> counts, int from) {}

    private void scan() {
        Deque<Open> open = new ArrayDeque<>();
        open.push(new Open(' ', "", 1, 1, new HashMap<>(), -1));
        List<String> words = new ArrayList<>();
        int[] first = null;
        boolean value = false;
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '\n') {
                // A list goes on over lines; a value does not.
                value = value && open.peek().bracket == '[';
                words.clear();
                next();
            } else if (isComment()) {
                skipComment();
            } else if (c == '"' || isName(c)) {
                int[] here = {line, column()};
                int begins = at;
                String word = c == '"' ? string() : name();
                if (!value && open.peek().bracket != '[') {
                    first = words.isEmpty() ? here : first;
                    statement = words.isEmpty() ? begins : statement;
                    words.add(word);
                }
            } else if (c == '=' && !value) {
                String path = within(open.peek().path, words.isEmpty() ? "" : words.get(0));
                int[] here = first == null ? new int[] {line, column()} : first;
                put(path, here);
                once(path, here);
                value = true;
                next();
            } else if (c == '<' && text.startsWith("<<", at)) {
                heredoc();
            } else if (c == '{' || c == '[') {
                boolean isLabelled = c == '{' && open.size() == 1 && words.size() > 1 && !value;
                open.push(opened(c, open.peek(), words, first, value, isLabelled ? statement : -1));
                words.clear();
                value = c == '[';
                next();
            } else if (c == '}' || c == ']') {
                close(open, c);
                words.clear();
                value = open.peek().bracket == '[';
                next();
            } else {
                next();
            }
        }
        while (open.size() > 1) {
            Open left = open.pop();
            faults.add(left.line + ":" + left.column + ": the bracket " + left.bracket + " is never closed");
        }
    }

    /** What a bracket begins: a block or an object by its name and label, or a list. */
    private Open opened(char bracket, Open within, List<String> words, int[] first, boolean value, int from) {
        String path = within.path;
        if (bracket == '{' && !words.isEmpty()) {
            String type = words.get(0);
            int[] here = first == null ? new int[] {line, column()} : first;
            String own = within(within.path, words.size() > 1 ? type + " \"" + words.get(1) + "\"" : type);
            if (words.size() == 1 && !value) {
                // It may be the only one of its name or one of several, and is asked for by either name.
                own += "[" + (within.counts.merge(type, 1, Integer::sum) - 1) + "]";
            }
            put(own, here);
            put(within(within.path, type), here);
            if (!value) {
                once(own, here);
            }
            path = own;
        }
        return new Open(bracket, path, line, column(), new HashMap<>(), from);
    }

    private void once(String path, int[] here) {
        if (!path.isEmpty() && !once.add(path)) {
            faults.add(here[0] + ":" + here[1] + ": " + path + " is there twice");
        }
    }

    private void close(Deque<Open> open, char bracket) {
        char opens = bracket == '}' ? '{' : '[';
        if (open.size() == 1 || open.peek().bracket != opens) {
            faults.add(line + ":" + column() + ": the bracket " + bracket + " closes nothing");
        }
        if (open.size() > 1) {
            Open closed = open.pop();
            if (closed.from >= 0) {
                labelledBlocks.add(new LabelledBlock(closed.from, at + 1));
            }
        }
    }

    /** Under its path, and under those in which a first block of its name goes without a number. */
    private void put(String path, int[] place) {
        places.putIfAbsent(path, place);
        for (int i = path.indexOf(FIRST); i >= 0; i = path.indexOf(FIRST, i + 1)) {
            put(path.substring(0, i) + path.substring(i + FIRST.length()), place);
        }
    }

    private static String within(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private int column() {
        return at - lineBegan + 1;
    }

    private void next() {
        if (text.charAt(at++) == '\n') {
            line++;
            lineBegan = at;
        }
    }

    private static boolean isName(char c) {
        return Character.isLetterOrDigit(c) || c == '_' || c == '-' || c == '.';
    }

    private String name() {
        int from = at;
        while (at < text.length() && isName(text.charAt(at))) {
            at++;
        }
        return text.substring(from, at);
    }

    private String string() {
        int from = ++at;
        while (at < text.length() && text.charAt(at) != '"' && text.charAt(at) != '\n') {
            at += text.charAt(at) == '\\' && at + 1 < text.length() ? 2 : 1;
        }
        String found = text.substring(from, Math.min(at, text.length()));
        if (at < text.length() && text.charAt(at) == '"') {
            at++;
        }
        return found;
    }

    private boolean isComment() {
        return text.charAt(at) == '#' || text.startsWith("//", at) || text.startsWith("/*", at);
    }

    private void skipComment() {
        boolean block = text.startsWith("/*", at);
        while (at < text.length() && (block ? !text.startsWith("*/", at) : text.charAt(at) != '\n')) {
            next();
        }
        at = block ? Math.min(text.length(), at + 2) : at;
    }

    private void heredoc() {
        at += 2;
        if (at < text.length() && text.charAt(at) == '-') {
            at++;
        }
        String end = name();
        while (at < text.length()) {
            next();
            int lineEnd = text.indexOf('\n', at);
            String whole = text.substring(at, lineEnd < 0 ? text.length() : lineEnd);
            if (whole.strip().equals(end)) {
                at += whole.length();
                return;
            }
        }
    }
}
