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
 * Parses the endpoint lists of one response: JSON objects one after the other, with any white
 * space, in buffers cut anywhere.
 *
 * <p>Entries are decoded one by one when the list has ended or has turned out to be unreadable. An
 * invalid entry does not affect the others: the host and state that can be read of it are kept, and
 * its first invalid field is reported as a problem.
 */
public final class EndpointListParser {
  private static final int CHUNK_BYTES = 4 << 10;

  private final EndpointListTokenizer tokenizer = new EndpointListTokenizer();
  private final byte[] chunk = new byte[CHUNK_BYTES];
  private final boolean completeExpected;
  private final OptionalLong cachedVersion;
  private final long cachedChecksum;

  private EndpointListParser(
      boolean completeExpected, OptionalLong cachedVersion, long cachedChecksum) {
    this.completeExpected = completeExpected;
    this.cachedVersion = cachedVersion;
    this.cachedChecksum = cachedChecksum;
  }

  /** A parser of the changes that a watch brings. */
  public static EndpointListParser forWatch() {
    return new EndpointListParser(false, OptionalLong.empty(), 0);
  }

  /**
   * A parser of the complete list that a poll brings. A list of the cached version and checksum is
   * not decoded again; an empty version stands for no cached list.
   */
  public static EndpointListParser forPoll(OptionalLong cachedVersion, long cachedChecksum) {
    return new EndpointListParser(true, cachedVersion, cachedChecksum);
  }

  /** Decodes a complete list that is a JSON object already, by the same rules. */
  public static EndpointList decode(JsonObject list) {
    EndpointListBuilder builder = new EndpointListBuilder();
    JsonElement entries = list.get(DiscoveryProtocol.ENTRIES);
    if (entries != null && entries.isJsonArray()) {
      entries.getAsJsonArray().forEach(builder::addEntry);
    }
    return builder.build(list, true, 0);
  }

  /**
   * Reads from {@code in} up to the end of the next list, which may have begun in earlier buffers.
   *
   * @return the list; null once {@code in} is used up
   * @throws UnreadableListException if what was read is no list or exceeds a bound; the next byte
   *     is taken for the beginning of a list
   */
  @Nullable EndpointList next(ByteBuf in) throws UnreadableListException {
    while (in.isReadable()) {
      int size = Math.min(in.readableBytes(), chunk.length);
      in.getBytes(in.readerIndex(), chunk, 0, size);
      for (int i = 0; i < size; i++) {
        if (accept(chunk[i])) {
          EndpointList list = decodeList();
          in.skipBytes(i + 1);
          return list;
        }
      }
      in.skipBytes(size);
    }
    return null;
  }

  /** Whether no list has begun that has not ended. */
  boolean isBetweenLists() {
    return tokenizer.isBetweenLists();
  }

  /**
   * The response has ended.
   *
   * @throws UnreadableListException if that is in the middle of a list
   */
  void finish() throws UnreadableListException {
    if (!isBetweenLists()) {
      throw unreadable("it ends in the middle");
    }
  }

  private boolean accept(byte next) throws UnreadableListException {
    try {
      return tokenizer.accept(next);
    } catch (MalformedListException e) {
      throw unreadable(e.getMessage());
    }
  }

  private EndpointList decodeList() throws UnreadableListException {
    JsonObject header;
    try {
      header = JsonFields.parseObject(tokenizer.header());
    } catch (MalformedListException e) {
      throw unreadable(e.getMessage());
    }
    if (isCached(header)) {
      return EndpointList.unchanged(cachedVersion.getAsLong(), tokenizer.checksum());
    }
    EndpointListBuilder builder = new EndpointListBuilder();
    for (int i = 0; i < tokenizer.nonEntryCount(); i++) {
      builder.addNonEntry();
    }
    decodeEntries(builder, entry -> true);
    return builder.build(header, completeExpected, tokenizer.checksum());
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
   * Drops the list that cannot be read further; the exception has its leaving endpoints so far.
   * Other entries are not decoded: the list may be huge, and it is asked for again soon.
   */
  private UnreadableListException unreadable(String reason) {
    EndpointListBuilder builder = new EndpointListBuilder();
    decodeEntries(builder, DiscoveryProtocol::canBeLeaving);
    tokenizer.truncatedEntry().ifPresent(builder::addTruncatedEntry);
    List<PartialEndpoint> leavingEndpoints = builder.leavingEndpoints();
    tokenizer.reset();
    return new UnreadableListException(reason, leavingEndpoints);
  }
}
