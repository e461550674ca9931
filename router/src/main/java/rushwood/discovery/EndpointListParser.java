package rushwood.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import rushwood.dispatch.PartialEndpoint;

/**
 * Parses the endpoint lists of one response: a sequence of JSON objects with any white space, split
 * into buffers at any byte.
 *
 * <p>Entries are decoded one by one once the list has ended or has proved unreadable. An invalid
 * entry does not affect the others: its host and state are kept if they can be read, and its first
 * invalid field is reported as a problem.
 */
public final class EndpointListParser {
  private static final int CHUNK_BYTES = 4 << 10;

  private final EndpointListTokenizer tokenizer = new EndpointListTokenizer();
  private final byte[] chunk = new byte[CHUNK_BYTES];
  private final boolean completeByDefault;
  private final OptionalLong cachedVersion;
  private final long cachedChecksum;

  private EndpointListParser(
      boolean completeByDefault, OptionalLong cachedVersion, long cachedChecksum) {
    this.completeByDefault = completeByDefault;
    this.cachedVersion = cachedVersion;
    this.cachedChecksum = cachedChecksum;
  }

  /** Creates a parser for the response to a watch, whose lists contain only changed entries. */
  public static EndpointListParser forWatch() {
    return new EndpointListParser(false, OptionalLong.empty(), 0);
  }

  /**
   * Creates a parser for the response to a poll, which is the complete list. A list with the cached
   * version and checksum is not decoded again.
   *
   * @param cachedVersion empty if there is no cached list
   */
  public static EndpointListParser forPoll(OptionalLong cachedVersion, long cachedChecksum) {
    return new EndpointListParser(true, cachedVersion, cachedChecksum);
  }

  /** Decodes a complete list that is already parsed as JSON, by the same rules. */
  public static EndpointList decode(JsonObject list) {
    EndpointListBuilder builder = new EndpointListBuilder();
    JsonElement entries = list.get(DiscoveryProtocol.ENTRIES);
    if (entries != null && entries.isJsonArray()) {
      entries.getAsJsonArray().forEach(builder::addEntry);
    }
    return builder.build(list, true, 0);
  }

  /**
   * Reads {@code in} up to the end of the next list, which may have begun in an earlier buffer.
   *
   * @return the list, or null if {@code in} has no more bytes and the list has not ended
   * @throws UnreadableListException if the input is not a list or exceeds a size limit; the next
   *     byte is then expected to begin a list
   */
  @Nullable EndpointList next(ByteBuf in) throws UnreadableListException {
    while (in.isReadable()) {
      int size = Math.min(in.readableBytes(), chunk.length);
      in.getBytes(in.readerIndex(), chunk, 0, size);
      for (int i = 0; i < size; i++) {
        if (accept(chunk[i])) {
          EndpointList list = decodeCurrentList();
          in.skipBytes(i + 1);
          return list;
        }
      }
      in.skipBytes(size);
    }
    return null;
  }

  /** Returns whether the last list is complete or none has begun. */
  boolean isBetweenLists() {
    return tokenizer.isBetweenLists();
  }

  /**
   * Checks that the response may end here.
   *
   * @throws UnreadableListException if a list has begun and not ended
   */
  void finish() throws UnreadableListException {
    if (!isBetweenLists()) {
      throw abandonList("the response ended before the end of the list");
    }
  }

  private boolean accept(byte next) throws UnreadableListException {
    try {
      return tokenizer.accept(next);
    } catch (MalformedListException e) {
      throw abandonList(e.getMessage());
    }
  }

  private EndpointList decodeCurrentList() throws UnreadableListException {
    JsonObject header;
    try {
      header = JsonFields.parseObject(tokenizer.header());
    } catch (MalformedListException e) {
      throw abandonList(e.getMessage());
    }
    if (isCached(header)) {
      return EndpointList.unchanged(cachedVersion.getAsLong(), tokenizer.checksum());
    }
    EndpointListBuilder builder = new EndpointListBuilder();
    for (int i = 0; i < tokenizer.invalidElementCount(); i++) {
      builder.addInvalidElement();
    }
    decodeEntries(builder, entry -> true);
    return builder.build(header, completeByDefault, tokenizer.checksum());
  }

  private boolean isCached(JsonObject header) {
    return cachedVersion.isPresent()
        && tokenizer.checksum() == cachedChecksum
        && EndpointListBuilder.decodeVersion(header).equals(cachedVersion);
  }

  private void decodeEntries(EndpointListBuilder builder, Predicate<String> filter) {
    for (int i = 0; i < tokenizer.entryCount(); i++) {
      String entry = tokenizer.entry(i);
      if (filter.test(entry)) {
        builder.addEntry(entry);
      }
    }
  }

  /**
   * Discards the list that cannot be read further, and returns an exception with its leaving
   * endpoints so far. Does not decode other entries, because the list may be huge and is requested
   * again soon.
   */
  private UnreadableListException abandonList(String reason) {
    EndpointListBuilder builder = new EndpointListBuilder();
    decodeEntries(builder, DiscoveryProtocol::mayBeLeaving);
    tokenizer.truncatedEntry().ifPresent(builder::addTruncatedEntry);
    List<PartialEndpoint> leavingEndpoints = builder.leavingEndpoints();
    tokenizer.reset();
    return new UnreadableListException(reason, leavingEndpoints);
  }
}
