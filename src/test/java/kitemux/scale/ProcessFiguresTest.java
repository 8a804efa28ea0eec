package kitemux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ProcessFiguresTest {
    @TempDir
    private Path folder;

    private Path task(String name, String stat) throws IOException {
        Path task = Files.createDirectory(folder.resolve(name));
        Files.writeString(task.resolve("stat"), stat);
        return task;
    }

    /** Compilers' threads come and go while a process is looked at. */
    @Test
    void aThreadThatHasEndedSinceTheLookIsPassedOver() throws Exception {
        Path loop = task("7", "7 (multiThreadIoEv) S 1 1 1 0 -1 0 0 0 0 0 30 12 0 0 20 0 1 0 1");
        Path other = task("8", "8 (C1 CompilerThre) S 1 1 1 0 -1 0 0 0 0 0 90 90 0 0 20 0 1 0 1");
        assertEquals(42, ProcessFigures.loopTicks(List.of(folder.resolve("6"), loop, other)));
    }

    @Test
    void oneThatIsThereAndCannotBeReadIsAFault() throws Exception {
        Path unreadable = Files.createDirectory(folder.resolve("9"));
        assertThrows(IOException.class, () -> ProcessFigures.loopTicks(List.of(unreadable)));
    }
}
