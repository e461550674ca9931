package rushwood.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The bytes of a list's entries, one after the other in one array, the last of them still open.
 * White space is left out by the writer.
 */
final class EntryBuffer {
  private static final int INITIAL_BYTES = 4 << 10;
  private static final int INITIAL_ENTRIES = 64;

  private final Bytes bytes = new Bytes();
  private int[] entryEnds = new int[INITIAL_ENTRIES];
  private int entryCount;

  /** Lets the open entry be cut back and read in place, without a copy of the whole array. */
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

  /** Closes the open entry; what is written next opens another. */
  void endEntry() {
    if (entryCount == entryEnds.length) {
      entryEnds = Arrays.copyOf(entryEnds, 2 * entryCount);
    }
    entryEnds[entryCount++] = bytes.size();
  }

  /** Complete entries. */
  int entryCount() {
    return entryCount;
  }

  String entry(int index) {
    int start = index == 0 ? 0 : entryEnds[index - 1];
    return bytes.text(start, entryEnds[index]);
  }

  int totalBytes() {
    return bytes.size();
  }

  int openEntryBytes() {
    return bytes.size() - openEntryStart();
  }

  /** What has been written since the last entry ended. */
  String openEntry() {
    return bytes.text(openEntryStart(), bytes.size());
  }

  void discardOpenEntry() {
    bytes.truncate(openEntryStart());
  }

  private int openEntryStart() {
    return entryCount == 0 ? 0 : entryEnds[entryCount - 1];
  }
}
