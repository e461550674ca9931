package rushwood.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Stores the JSON of a list's entries in a single byte array, followed by the pending bytes: those
 * written since the last entry ended.
 */
final class EntryBuffer {
  private static final int INITIAL_BYTES = 4 << 10;
  private static final int INITIAL_ENTRIES = 64;

  private final Bytes bytes = new Bytes();
  private int[] entryEnds = new int[INITIAL_ENTRIES];
  private int entryCount;

  /** Allows reading and truncating the array in place, without copying the whole of it. */
  private static final class Bytes extends ByteArrayOutputStream {
    Bytes() {
      super(INITIAL_BYTES);
    }

    void truncate(int size) {
      count = size;
    }

    String text(int from, int to) {
      return new String(buf, from, to - from, StandardCharsets.UTF_8);
    }
  }

  void write(byte next) {
    bytes.write(next);
  }

  /** Makes the pending bytes an entry. */
  void endEntry() {
    if (entryCount == entryEnds.length) {
      entryEnds = Arrays.copyOf(entryEnds, 2 * entryCount);
    }
    entryEnds[entryCount++] = bytes.size();
  }

  int entryCount() {
    return entryCount;
  }

  String entry(int index) {
    int start = index == 0 ? 0 : entryEnds[index - 1];
    return bytes.text(start, entryEnds[index]);
  }

  /** Returns the size of all entries and the pending bytes. */
  int totalBytes() {
    return bytes.size();
  }

  int pendingBytes() {
    return bytes.size() - pendingStart();
  }

  String pendingText() {
    return bytes.text(pendingStart(), bytes.size());
  }

  void discardPending() {
    bytes.truncate(pendingStart());
  }

  private int pendingStart() {
    return entryCount == 0 ? 0 : entryEnds[entryCount - 1];
  }
}
