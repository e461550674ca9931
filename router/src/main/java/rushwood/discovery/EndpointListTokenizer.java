package rushwood.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Finds where an endpoint list and each of its entries begin and end, in JSON that arrives in parts
 * cut anywhere. It tracks brackets and strings only; whether the text between them is valid JSON is
 * for the decoder to say. White space outside strings is dropped.
 *
 * <p>A list is kept in two parts: the header (the object with an empty array of entries) and the
 * entries. Both stay readable until the next list begins, after a fault too.
 */
final class EndpointListTokenizer {
  /** Sixteen times the largest list of a deployment; decoded they take 5 MB. */
  private static final int MAX_ENTRIES = 1 << 14;

  /** Bytes without white space: {@link #MAX_ENTRIES} entries of the usual size. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  /** Bytes without white space: fifty times the usual entry. */
  private static final int MAX_ENTRY_BYTES = 16 << 10;

  /** Bytes without white space: far more than the header's two small fields need. */
  private static final int MAX_HEADER_BYTES = 16 << 10;

  private static final int INITIAL_HEADER_BYTES = 128;
  private static final String ENTRIES_KEY = "\"" + DiscoveryProtocol.ENTRIES + "\":";

  /** Depth of brackets inside the list's object, and inside its array of entries. */
  private static final int LIST_DEPTH = 1;

  private static final int ENTRIES_DEPTH = 2;

  /** Multiplier of the 64-bit FNV-0 hash. */
  private static final long FNV_PRIME = 1_099_511_628_211L;

  private final ByteArrayOutputStream header = new ByteArrayOutputStream(INITIAL_HEADER_BYTES);
  private EntryBuffer entries = new EntryBuffer();
  private int depth;
  private boolean insideString;
  private boolean escaped;
  private boolean insideEntries;
  private int nonEntryCount;
  private long checksum;

  /**
   * Takes the next byte.
   *
   * @return whether it is the last byte of a list
   */
  boolean accept(byte next) throws MalformedListException {
    boolean whiteSpace = isWhiteSpace(next);
    if (depth == 0) {
      if (whiteSpace) {
        return false;
      }
      if (next != '{') {
        String found = next > ' ' ? String.valueOf((char) next) : String.valueOf(next);
        throw new MalformedListException("no JSON object: it begins with " + found);
      }
      reset();
    }
    if (insideString) {
      acceptInsideString(next);
      return false;
    }
    return !whiteSpace && acceptOutsideString(next);
  }

  /** Whether no list has begun that has not ended. */
  boolean isBetweenLists() {
    return depth == 0;
  }

  /** The list's object with an empty array in place of the entries. */
  String header() {
    return header.toString(StandardCharsets.UTF_8);
  }

  /** Entries that have ended. */
  int entryCount() {
    return entries.entryCount();
  }

  String entry(int index) {
    return entries.entry(index);
  }

  /** Elements of the array of entries that are no objects. */
  int nonEntryCount() {
    return nonEntryCount;
  }

  /** FNV-0 hash of the list without white space, bytes taken as signed. */
  long checksum() {
    return checksum;
  }

  /**
   * The entry that has begun and not ended, closed after its last complete field. Empty if it has
   * no complete field, or if none is open.
   */
  Optional<String> truncatedEntry() {
    if (!insideEntries) {
      return Optional.empty();
    }
    String openEntry = entries.openEntry();
    int lastComma = openEntry.lastIndexOf(',');
    if (lastComma <= 0 || openEntry.charAt(0) != '{') {
      return Optional.empty();
    }
    return Optional.of(openEntry.substring(0, lastComma) + "}");
  }

  /** Forgets what has been read; the next byte is expected to begin a list. */
  void reset() {
    header.reset();
    entries = new EntryBuffer(); // not reused: a long list must not hold its memory for short ones
    depth = 0;
    insideString = false;
    escaped = false;
    insideEntries = false;
    nonEntryCount = 0;
    checksum = 0;
  }

  private static boolean isWhiteSpace(byte next) {
    return next == ' ' || next == '\t' || next == '\r' || next == '\n';
  }

  private void acceptInsideString(byte next) throws MalformedListException {
    if (next >= 0 && next < ' ') {
      // JSON has no bare control characters in strings: a truncated list runs on into the next.
      throw new MalformedListException("a text that does not end");
    }
    append(next);
    if (escaped) {
      escaped = false;
    } else if (next == '\\') {
      escaped = true;
    } else if (next == '"') {
      insideString = false;
    }
  }

  private boolean acceptOutsideString(byte next) throws MalformedListException {
    switch (next) {
      case '{', '[' -> openBracket(next);
      case '}', ']' -> closeBracket(next);
      default -> {
        append(next);
        insideString = next == '"';
      }
    }
    return depth == 0;
  }

  private void openBracket(byte next) throws MalformedListException {
    if (depth == LIST_DEPTH && next == '[' && !insideEntries && header().endsWith(ENTRIES_KEY)) {
      insideEntries = true;
      appendToHeader(next);
    } else {
      if (insideEntries && depth == ENTRIES_DEPTH) {
        discardBetweenEntries();
      }
      append(next);
    }
    depth++;
  }

  private void closeBracket(byte next) throws MalformedListException {
    depth--;
    if (insideEntries && depth == LIST_DEPTH) {
      discardBetweenEntries();
      insideEntries = false;
      appendToHeader(next);
    } else {
      append(next);
      if (insideEntries && depth == ENTRIES_DEPTH) {
        endEntry();
      }
    }
  }

  private void endEntry() throws MalformedListException {
    entries.endEntry();
    if (entries.entryCount() > MAX_ENTRIES) {
      throw new MalformedListException(
          DiscoveryProtocol.ENTRIES + " has more than " + MAX_ENTRIES + " entries");
    }
  }

  /** Drops what stands between two entries; anything but the comma is an element that is none. */
  private void discardBetweenEntries() {
    String between = entries.openEntry();
    if (!between.isEmpty() && !between.equals(",")) {
      nonEntryCount++;
    }
    entries.discardOpenEntry();
  }

  private void append(byte next) throws MalformedListException {
    if (!insideEntries) {
      appendToHeader(next);
      return;
    }
    addToChecksum(next);
    entries.write(next);
    if (entries.openEntryBytes() > MAX_ENTRY_BYTES) {
      throw new MalformedListException(
          DiscoveryProtocol.ENTRIES + " has an entry longer than " + MAX_ENTRY_BYTES + " bytes");
    }
    if (entries.totalBytes() > MAX_LIST_BYTES) {
      throw new MalformedListException(
          DiscoveryProtocol.ENTRIES + " is longer than " + MAX_LIST_BYTES + " bytes");
    }
  }

  private void appendToHeader(byte next) throws MalformedListException {
    addToChecksum(next);
    header.write(next);
    if (header.size() > MAX_HEADER_BYTES) {
      throw new MalformedListException(
          "more than " + MAX_HEADER_BYTES + " bytes beside " + DiscoveryProtocol.ENTRIES);
    }
  }

  private void addToChecksum(byte next) {
    checksum = checksum * FNV_PRIME ^ next;
  }
}
