package rushwood.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Finds where an endpoint list and each of its entries begin and end in JSON that arrives byte by
 * byte. Tracks only brackets and strings; the decoder checks that the text is valid JSON. Drops
 * white space outside strings.
 *
 * <p>Keeps a list in two parts: the header (the list's object with an empty array of entries) and
 * the entries. Both remain available until the next list begins, also after a {@link
 * MalformedListException}.
 */
final class EndpointListTokenizer {
  /** 16 times the largest list of a deployment; the decoded entries take 5 MB. */
  private static final int MAX_ENTRIES = 1 << 14;

  /** Limit without white space: {@link #MAX_ENTRIES} entries of the usual size. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  /** Limit without white space: 50 times the usual size of an entry. */
  private static final int MAX_ENTRY_BYTES = 16 << 10;

  /** Limit without white space: far more than the header's two small fields need. */
  private static final int MAX_HEADER_BYTES = 16 << 10;

  private static final int INITIAL_HEADER_BYTES = 128;
  private static final String ENTRIES_KEY = "\"" + DiscoveryProtocol.ENTRIES + "\":";

  /** Bracket depth inside the list's object, outside its array of entries. */
  private static final int LIST_DEPTH = 1;

  /** Bracket depth inside the array of entries, outside an entry. */
  private static final int ENTRIES_DEPTH = 2;

  /** Multiplier of the 64-bit FNV-0 hash. */
  private static final long FNV_PRIME = 1_099_511_628_211L;

  private final ByteArrayOutputStream header = new ByteArrayOutputStream(INITIAL_HEADER_BYTES);
  private EntryBuffer entries = new EntryBuffer();
  private int depth;
  private boolean insideString;
  private boolean escaped;
  private boolean insideEntries;
  private int invalidElementCount;
  private long checksum;

  /**
   * Consumes the next byte.
   *
   * @return whether it is the last byte of a list
   * @throws MalformedListException if the byte cannot belong to a list, or the list exceeds a size
   *     limit
   */
  boolean accept(byte next) throws MalformedListException {
    boolean whiteSpace = isWhiteSpace(next);
    if (depth == 0) {
      if (whiteSpace) {
        return false;
      }
      if (next != '{') {
        String found = next > ' ' ? String.valueOf((char) next) : String.valueOf(next);
        throw new MalformedListException("expected a JSON object but found " + found);
      }
      reset();
    }
    if (insideString) {
      acceptInsideString(next);
      return false;
    }
    return !whiteSpace && acceptOutsideString(next);
  }

  /** Returns whether the last list is complete or none has begun. */
  boolean isBetweenLists() {
    return depth == 0;
  }

  /** Returns the list's object as JSON, with an empty array in place of the entries. */
  String header() {
    return header.toString(StandardCharsets.UTF_8);
  }

  /** Returns the number of complete entries. */
  int entryCount() {
    return entries.entryCount();
  }

  /** Returns the JSON of a complete entry, counted from 0. */
  String entry(int index) {
    return entries.entry(index);
  }

  /** Returns how many gaps between entries contain other elements, for example numbers. */
  int invalidElementCount() {
    return invalidElementCount;
  }

  /** Returns the 64-bit FNV-0 hash of the list without white space; bytes are signed. */
  long checksum() {
    return checksum;
  }

  /**
   * Returns the JSON of the incomplete entry at the end of the input, cut off after its last
   * complete field and closed with a brace. Empty if there is no such entry or it has no complete
   * field.
   */
  Optional<String> truncatedEntry() {
    if (!insideEntries) {
      return Optional.empty();
    }
    String pending = entries.pendingText();
    int lastComma = pending.lastIndexOf(',');
    if (lastComma <= 0 || pending.charAt(0) != '{') {
      return Optional.empty();
    }
    return Optional.of(pending.substring(0, lastComma) + "}");
  }

  /** Discards the list; the next byte is expected to begin another one. */
  void reset() {
    header.reset();
    entries = new EntryBuffer(); // not reused, so that the memory of a long list is released
    depth = 0;
    insideString = false;
    escaped = false;
    insideEntries = false;
    invalidElementCount = 0;
    checksum = 0;
  }

  private static boolean isWhiteSpace(byte next) {
    return next == ' ' || next == '\t' || next == '\r' || next == '\n';
  }

  private void acceptInsideString(byte next) throws MalformedListException {
    if (next >= 0 && next < ' ') {
      // JSON strings contain no unescaped control characters. The list is truncated, and the line
      // break before the next list would otherwise become part of the string.
      throw new MalformedListException("unterminated string");
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
        discardSeparator();
      }
      append(next);
    }
    depth++;
  }

  private void closeBracket(byte next) throws MalformedListException {
    depth--;
    if (insideEntries && depth == LIST_DEPTH) {
      discardSeparator();
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

  /** Discards the text between two entries; anything but a comma is an invalid element. */
  private void discardSeparator() {
    String separator = entries.pendingText();
    if (!separator.isEmpty() && !separator.equals(",")) {
      invalidElementCount++;
    }
    entries.discardPending();
  }

  private void append(byte next) throws MalformedListException {
    if (!insideEntries) {
      appendToHeader(next);
      return;
    }
    addToChecksum(next);
    entries.write(next);
    if (entries.pendingBytes() > MAX_ENTRY_BYTES) {
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
          "more than " + MAX_HEADER_BYTES + " bytes outside " + DiscoveryProtocol.ENTRIES);
    }
  }

  private void addToChecksum(byte next) {
    checksum = checksum * FNV_PRIME ^ next;
  }
}
