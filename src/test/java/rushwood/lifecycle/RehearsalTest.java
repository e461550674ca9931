package rushwood.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rushwood.state.Counters;
import rushwood.state.Counters.Count;

class RehearsalTest {
    /** A rehearsal in which nothing is fulfilled or parked would leave the code cold, and nobody would see it. */
    @Test
    void reachesWhatARealStartReaches(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), ConfigTest.GOOD);
        UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);
        Counters counters = new Rehearsal(Config.read(Map.of("NODE_CONFIG", file.toString())), allocator).play();
        assertTrue(counters.get(Count.ACCESSES_FULFILLED) > 0);
        assertTrue(counters.get(Count.ACCESSES_TURNED_BACK) > 0);
        assertTrue(counters.get(Count.CONNECTIONS_REUSED) > 0);
        assertEquals(0, counters.get(Count.INVARIANTS_BROKEN));
        assertEquals(0, counters.get(Count.STATEMENTS_REJECTED));
        assertEquals(0, allocator.metric().usedHeapMemory(), "buffers are kept");
    }
}
