package kitemux.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A page with measured figures. A table stands between the lines {@code <!-- scale:NAME -->} and
 * {@code <!-- /scale:NAME -->}, a figure in prose between {@code <!--scale:NAME.ROW.COLUMN-->} and
 * {@code <!--/-->}; both are what kept results make them.
 */
public final class CapacityPage {
    private static final Pattern TABLE =
            Pattern.compile("(?ms)^<!-- scale:([a-z0-9]+) -->\\n(.*?)^<!-- /scale:\\1 -->$");
    private static final Pattern TABLE_MARK = Pattern.compile("(?m)^.*<!-- /?scale:([^ ]*) -->.*$");
    private static final Pattern FIGURE =
            Pattern.compile("<!--scale:([a-z0-9]+)\\.([a-z0-9_-]+)\\.([a-z0-9_]+)-->(.*?)<!--/-->");
    private static final Pattern FIGURE_MARK = Pattern.compile("<!--scale:|<!--/-->");

    private CapacityPage() {}

    /** What a table or a figure should be; null where kept results make none. */
    private interface Made {
        String of(Matcher found) throws IOException;
    }

    private static Made table(Path folder) {
        return found -> Tables.markdown(found.group(1), folder);
    }

    private static Made figure(Path folder) {
        return found -> {
            Tables.Shown shown = Tables.shown(found.group(1), folder);
            return shown == null
                    ? null
                    : shown.cells().getOrDefault(found.group(2), Map.of()).get(found.group(3));
        };
    }

    /**
     * The page with all of its tables and figures made anew; what kept results do not make stays as it is.
     *
     * @throws IOException if kept results cannot be read
     */
    public static String filled(String page, Path folder) throws IOException {
        return replaced(replaced(page, TABLE, 2, table(folder)), FIGURE, 4, figure(folder));
    }

    private static String replaced(String page, Pattern pattern, int group, Made made) throws IOException {
        StringBuilder text = new StringBuilder();
        Matcher found = pattern.matcher(page);
        int from = 0;
        while (found.find()) {
            String should = made.of(found);
            text.append(page, from, found.start(group)).append(should == null ? found.group(group) : should);
            from = found.end(group);
        }
        return text.append(page, from, page.length()).toString();
    }

    /**
     * All that is wrong with a page: tables and figures that differ from what the results make, marks that
     * name nothing or are not whole, and tables that results make and no mark names. One line each.
     *
     * @throws IOException if kept results cannot be read
     */
    public static List<String> faults(String page, Path folder) throws IOException {
        List<String> faults = new ArrayList<>();
        Set<String> named = new HashSet<>();
        int whole = compare(page, TABLE, 2, table(folder), faults, found -> {
            if (!named.add(found.group(1))) {
                faults.add(place(page, found.start()) + "the table " + found.group(1) + " is there twice");
            }
        });
        if (count(page, TABLE_MARK) != 2 * whole) {
            faults.add("a mark of a table has no other, or stands with other text on its line: "
                    + count(page, TABLE_MARK) + " marks, " + whole + " tables");
        }
        int figures = compare(page, FIGURE, 4, figure(folder), faults, found -> {});
        if (count(page, FIGURE_MARK) != 2 * figures) {
            faults.add("a mark of a figure has no other, or is not NAME.ROW.COLUMN: " + count(page, FIGURE_MARK)
                    + " marks, " + figures + " figures");
        }
        for (String name : Tables.names()) {
            if (!named.contains(name) && Tables.markdown(name, folder) != null) {
                faults.add("the table " + name + " has results, and no mark names it");
            }
        }
        return faults;
    }

    private static int compare(
            String page, Pattern pattern, int group, Made made, List<String> faults, Consumer<Matcher> each)
            throws IOException {
        Matcher found = pattern.matcher(page);
        int count = 0;
        while (found.find()) {
            count++;
            each.accept(found);
            String should = made.of(found);
            String name = found.group().lines().findFirst().orElse("").replaceAll("-->.*", "-->");
            if (should == null) {
                faults.add(place(page, found.start()) + name + ": there are no results for it");
            } else if (!should.equals(found.group(group))) {
                faults.add(place(page, found.start()) + name + ": is not what the results make: "
                        + difference(found.group(group), should));
            }
        }
        return count;
    }

    private static String difference(String is, String should) {
        List<String> has = is.lines().toList();
        List<String> wants = should.lines().toList();
        for (int i = 0; i < Math.max(has.size(), wants.size()); i++) {
            String one = i < has.size() ? has.get(i) : "nothing";
            String other = i < wants.size() ? wants.get(i) : "nothing";
            if (!one.equals(other)) {
                return "\"" + one + "\", not \"" + other + "\"";
            }
        }
        return "blank lines";
    }

    private static int count(String page, Pattern pattern) {
        return (int) pattern.matcher(page).results().count();
    }

    private static String place(String page, int at) {
        return "line "
                + (1 + page.substring(0, at).chars().filter(c -> c == '\n').count()) + ": ";
    }
}
