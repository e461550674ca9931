package rushwood.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StatementMemoryTest {
  private static final int MAX_BYTES = 16 << 20;

  private final StatementMemory memory = new StatementMemory();

  @Test
  void memoryIsLowAboveHalfOfTheLimit() {
    memory.adjust(MAX_BYTES / 2);
    assertFalse(memory.isLow());
    memory.adjust(1);
    assertTrue(memory.isLow());
    memory.adjust(-1);
    assertFalse(memory.isLow());
  }

  @Test
  void memoryIsExhaustedAboveTheLimit() {
    memory.adjust(MAX_BYTES);
    assertFalse(memory.isExhausted());
    memory.adjust(1);
    assertTrue(memory.isExhausted());
  }

  @Test
  void requestHasRoomUpToTheLimit() {
    memory.adjust(MAX_BYTES - 100);
    assertTrue(memory.hasRoomFor(100));
    assertFalse(memory.hasRoomFor(101));
  }
}
