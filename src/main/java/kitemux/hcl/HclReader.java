package kitemux.hcl;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses HCL files. The library's parsing time grows with the square of the text's length and reaches 35 s for
 * 10,000 servers. Labelled top-level blocks, of which there may be many, are therefore parsed in batches whose
 * results are merged.
 */
public final class HclReader {
    /** Number of labelled blocks in one call of the library. */
    private static final int BATCH_BLOCK_COUNT = 50;

    private HclReader() {}

    /**
     * Parses a text into values by field name or block type.
     *
     * @param locations locations of the same text
     * @throws IOException if the text is not valid HCL; the message is that of the library
     */
    public static Map<String, Object> parse(String text, SourceLocations locations) throws IOException {
        StringBuilder remainder = new StringBuilder();
        int position = 0;
        for (SourceLocations.LabelledBlock block : locations.labelledBlocks()) {
            remainder.append(text, position, block.start());
            position = block.end();
        }
        remainder.append(text, position, text.length());
        Map<String, Object> parsed = new LinkedHashMap<>();
        List<SourceLocations.LabelledBlock> blocks = locations.labelledBlocks();
        for (int i = 0; i < blocks.size(); i += BATCH_BLOCK_COUNT) {
            StringBuilder batch = new StringBuilder();
            for (SourceLocations.LabelledBlock block :
                    blocks.subList(i, Math.min(blocks.size(), i + BATCH_BLOCK_COUNT))) {
                batch.append(text, block.start(), block.end()).append('\n');
            }
            merge(parsed, parseBatch(batch.toString()));
        }
        merge(parsed, parseBatch(remainder.toString()));
        return parsed;
    }

    private static Map<String, Object> parseBatch(String text) throws IOException {
        try {
            return new HCLParser().parse(text);
        } catch (HCLParserException | RuntimeException e) {
            throw new IOException(String.valueOf(e.getMessage()).replace('\n', ' '), e);
        }
    }

    /**
     * Merges parsed fields into the target. Blocks of one type are merged by label; {@link SourceLocations} detects
     * duplicate labels.
     */
    private static void merge(Map<String, Object> target, Map<?, ?> additions) {
        additions.forEach((key, value) -> {
            String name = key.toString();
            if (target.get(name) instanceof Map<?, ?> existing && value instanceof Map<?, ?> added) {
                Map<String, Object> merged = new LinkedHashMap<>();
                existing.forEach((label, body) -> merged.put(label.toString(), body));
                added.forEach((label, body) -> merged.put(label.toString(), body));
                target.put(name, merged);
            } else {
                target.put(name, value);
            }
        });
    }
}
