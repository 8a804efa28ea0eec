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
 * Line and column of each field and block in an HCL file. The HCL library reports no locations and accepts
 * unclosed brackets. This scanner therefore examines names and brackets only and leaves values to the library.
 */
public final class SourceLocations {
    private static final String FIRST_INDEX = "[0]";

    private final String text;
    private final Map<String, int[]> locations = new HashMap<>();
    private final List<String> faults = new ArrayList<>();
    private final List<LabelledBlock> labelledBlocks = new ArrayList<>();
    /** Text offset of the first word of the current statement. */
    private int statementStart;

    private final Set<String> seenPaths = new HashSet<>();
    private int position;
    private int line = 1;
    private int lineStart;

    private SourceLocations(String text) {
        this.text = text;
    }

    /**
     * A top-level block that has a label, such as {@code server "web-1" { ... }}.
     *
     * @param start text offset of the block's first character
     * @param end text offset after the closing bracket
     */
    record LabelledBlock(int start, int end) {}

    /** Returns the labelled top-level blocks in the order of the text, without those that are never closed. */
    List<LabelledBlock> labelledBlocks() {
        return List.copyOf(labelledBlocks);
    }

    /** Scans the text of an HCL file. */
    public static SourceLocations of(String text) {
        SourceLocations locations = new SourceLocations(text);
        locations.scan();
        return locations;
    }

    /**
     * Returns the unbalanced brackets and the duplicate names, of which the library keeps only one. Each entry has
     * the form {@code LINE:COLUMN: FAULT}.
     */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /**
     * Prefixes each fault with its file, line and column. Unbalanced brackets and duplicate names come first
     * because they may cause the other faults.
     *
     * @param faults faults that each begin with the path of a field or block, in the notation of {@link Section}
     */
    public static List<String> faultsWithLocations(String file, String text, List<String> faults) {
        SourceLocations locations = of(text);
        List<String> lines = new ArrayList<>();
        locations.faults().forEach(fault -> lines.add(file + ":" + fault));
        faults.forEach(fault -> lines.add(locations.withLocation(file, fault)));
        return lines;
    }

    /**
     * Returns a fault prefixed with its location: {@code FILE:LINE:COLUMN: FAULT}. A missing field or block gets
     * the location of the nearest enclosing block that exists. Without such a block, the prefix is the file alone.
     *
     * @param fault fault that begins with the path of a field or block, in the notation of {@link Section}
     */
    public String withLocation(String file, String fault) {
        int[] bestLocation = null;
        int bestLength = -1;
        for (Map.Entry<String, int[]> entry : locations.entrySet()) {
            String path = entry.getKey();
            boolean matches = fault.startsWith(path)
                    && (fault.length() == path.length() || ":.[ ".indexOf(fault.charAt(path.length())) >= 0);
            if (matches && path.length() > bestLength) {
                bestLocation = entry.getValue();
                bestLength = path.length();
            }
        }
        return bestLocation == null
                ? file + ": " + fault
                : file + ":" + bestLocation[0] + ":" + bestLocation[1] + ": " + fault;
    }

    // ---------------------------------------------------------------- scanner

    /**
     * A bracket that has not been closed yet; the bottom entry of the stack, a space, stands for the whole text.
     *
     * @param bracket the opening character
     * @param path path of the innermost named block or object around the bracket's contents; empty at the top level
     * @param line line of the bracket, from 1
     * @param column column of the bracket, from 1
     * @param blockCounts number of unlabelled blocks directly inside, by type
     * @param labelledStart text offset of a labelled top-level block; -1 for all other brackets
     */
    private record OpenBracket(
            char bracket, String path, int line, int column, Map<String, Integer> blockCounts, int labelledStart) {}

    private void scan() {
        Deque<OpenBracket> openBrackets = new ArrayDeque<>();
        openBrackets.push(new OpenBracket(' ', "", 1, 1, new HashMap<>(), -1));
        List<String> words = new ArrayList<>();
        int[] firstWordLocation = null;
        boolean inValue = false;
        while (position < text.length()) {
            char c = text.charAt(position);
            if (c == '\n') {
                // A list may continue on the next line; any other value ends with its line.
                inValue = inValue && openBrackets.peek().bracket == '[';
                words.clear();
                advance();
            } else if (startsComment()) {
                skipComment();
            } else if (c == '"' || isNameCharacter(c)) {
                int[] location = {line, column()};
                int wordStart = position;
                String word = c == '"' ? readString() : readName();
                if (!inValue && openBrackets.peek().bracket != '[') {
                    firstWordLocation = words.isEmpty() ? location : firstWordLocation;
                    statementStart = words.isEmpty() ? wordStart : statementStart;
                    words.add(word);
                }
            } else if (c == '=' && !inValue) {
                String path = childPath(openBrackets.peek().path, words.isEmpty() ? "" : words.get(0));
                int[] location = firstWordLocation == null ? new int[] {line, column()} : firstWordLocation;
                putLocation(path, location);
                requireUnique(path, location);
                inValue = true;
                advance();
            } else if (c == '<' && text.startsWith("<<", position)) {
                skipHeredoc();
            } else if (c == '{' || c == '[') {
                boolean startsLabelledBlock = c == '{' && openBrackets.size() == 1 && words.size() > 1 && !inValue;
                openBrackets.push(openBracket(
                        c,
                        openBrackets.peek(),
                        words,
                        firstWordLocation,
                        inValue,
                        startsLabelledBlock ? statementStart : -1));
                words.clear();
                inValue = c == '[';
                advance();
            } else if (c == '}' || c == ']') {
                closeBracket(openBrackets, c);
                words.clear();
                inValue = openBrackets.peek().bracket == '[';
                advance();
            } else {
                advance();
            }
        }
        while (openBrackets.size() > 1) {
            OpenBracket unclosed = openBrackets.pop();
            faults.add(
                    unclosed.line + ":" + unclosed.column + ": the bracket " + unclosed.bracket + " is never closed");
        }
    }

    /** Records a named block or object that a bracket opens; all other brackets keep the path of their parent. */
    private OpenBracket openBracket(
            char bracket,
            OpenBracket parent,
            List<String> words,
            int[] firstWordLocation,
            boolean inValue,
            int labelledStart) {
        String path = parent.path;
        if (bracket == '{' && !words.isEmpty()) {
            String type = words.get(0);
            int[] location = firstWordLocation == null ? new int[] {line, column()} : firstWordLocation;
            String blockPath = childPath(parent.path, words.size() > 1 ? type + " \"" + words.get(1) + "\"" : type);
            if (words.size() == 1 && !inValue) {
                // A single block is looked up without an index and one of several with it, so both paths are stored.
                blockPath += "[" + (parent.blockCounts.merge(type, 1, Integer::sum) - 1) + "]";
            }
            putLocation(blockPath, location);
            putLocation(childPath(parent.path, type), location);
            if (!inValue) {
                requireUnique(blockPath, location);
            }
            path = blockPath;
        }
        return new OpenBracket(bracket, path, line, column(), new HashMap<>(), labelledStart);
    }

    /** Adds a fault if the path has occurred before. */
    private void requireUnique(String path, int[] location) {
        if (!path.isEmpty() && !seenPaths.add(path)) {
            faults.add(location[0] + ":" + location[1] + ": " + path + " is there twice");
        }
    }

    private void closeBracket(Deque<OpenBracket> openBrackets, char bracket) {
        char openingBracket = bracket == '}' ? '{' : '[';
        if (openBrackets.size() == 1 || openBrackets.peek().bracket != openingBracket) {
            faults.add(line + ":" + column() + ": the bracket " + bracket + " closes nothing");
        }
        if (openBrackets.size() > 1) {
            OpenBracket closed = openBrackets.pop();
            if (closed.labelledStart >= 0) {
                labelledBlocks.add(new LabelledBlock(closed.labelledStart, position + 1));
            }
        }
    }

    /** Stores a location under its path and under every variant of the path that omits a first block's index. */
    private void putLocation(String path, int[] location) {
        locations.putIfAbsent(path, location);
        for (int i = path.indexOf(FIRST_INDEX); i >= 0; i = path.indexOf(FIRST_INDEX, i + 1)) {
            putLocation(path.substring(0, i) + path.substring(i + FIRST_INDEX.length()), location);
        }
    }

    private static String childPath(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private int column() {
        return position - lineStart + 1;
    }

    private void advance() {
        if (text.charAt(position++) == '\n') {
            line++;
            lineStart = position;
        }
    }

    private static boolean isNameCharacter(char c) {
        return Character.isLetterOrDigit(c) || c == '_' || c == '-' || c == '.';
    }

    private String readName() {
        int start = position;
        while (position < text.length() && isNameCharacter(text.charAt(position))) {
            position++;
        }
        return text.substring(start, position);
    }

    private String readString() {
        int start = ++position;
        while (position < text.length() && text.charAt(position) != '"' && text.charAt(position) != '\n') {
            position += text.charAt(position) == '\\' && position + 1 < text.length() ? 2 : 1;
        }
        String content = text.substring(start, Math.min(position, text.length()));
        if (position < text.length() && text.charAt(position) == '"') {
            position++;
        }
        return content;
    }

    private boolean startsComment() {
        return text.charAt(position) == '#' || text.startsWith("//", position) || text.startsWith("/*", position);
    }

    private void skipComment() {
        boolean isBlockComment = text.startsWith("/*", position);
        while (position < text.length()
                && (isBlockComment ? !text.startsWith("*/", position) : text.charAt(position) != '\n')) {
            advance();
        }
        position = isBlockComment ? Math.min(text.length(), position + 2) : position;
    }

    private void skipHeredoc() {
        position += 2;
        if (position < text.length() && text.charAt(position) == '-') {
            position++;
        }
        String endMarker = readName();
        while (position < text.length()) {
            advance();
            int lineEnd = text.indexOf('\n', position);
            String currentLine = text.substring(position, lineEnd < 0 ? text.length() : lineEnd);
            if (currentLine.strip().equals(endMarker)) {
                position += currentLine.length();
                return;
            }
        }
    }
}
