package kitemux.hcl;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads descriptions in HCL. The library's time grows with the square of a text's length: 35 s for 10,000
 * servers. So
 * blocks with labels, of which there may be many, are read some at a time, and put together.
 */
public final class HclReader {
    /** Blocks that are read at a time. */
    private static final int AT_A_TIME = 50;

    private HclReader() {}

    /**
     * What a text says, by names.
     *
     * @param places of the same text
     * @throws IOException if it is no HCL; the message says what the library found
     */
    public static Map<String, Object> parse(String text, SourceLocations places) throws IOException {
        StringBuilder rest = new StringBuilder();
        int at = 0;
        for (SourceLocations.LabelledBlock block : places.labelledBlocks()) {
            rest.append(text, at, block.start());
            at = block.end();
        }
        rest.append(text, at, text.length());
        Map<String, Object> all = new LinkedHashMap<>();
        List<SourceLocations.LabelledBlock> blocks = places.labelledBlocks();
        for (int i = 0; i < blocks.size(); i += AT_A_TIME) {
            StringBuilder some = new StringBuilder();
            for (SourceLocations.LabelledBlock block : blocks.subList(i, Math.min(blocks.size(), i + AT_A_TIME))) {
                some.append(text, block.start(), block.end()).append('\n');
            }
            merge(all, read(some.toString()));
        }
        merge(all, read(rest.toString()));
        return all;
    }

    private static Map<String, Object> read(String text) throws IOException {
        try {
            return new HCLParser().parse(text);
        } catch (HCLParserException | RuntimeException e) {
            throw new IOException(String.valueOf(e.getMessage()).replace('\n', ' '), e);
        }
    }

    /** Blocks of one type are told by their labels; what is told twice is found by {@link SourceLocations}. */
    private static void merge(Map<String, Object> into, Map<?, ?> more) {
        more.forEach((key, value) -> {
            String name = key.toString();
            if (into.get(name) instanceof Map<?, ?> before && value instanceof Map<?, ?> next) {
                Map<String, Object> both = new LinkedHashMap<>();
                before.forEach((label, of) -> both.put(label.toString(), of));
                next.forEach((label, of) -> both.put(label.toString(), of));
                into.put(name, both);
            } else {
                into.put(name, value);
            }
        });
    }
}
