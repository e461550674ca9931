package rushwood.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.util.NetUtil;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ZoneId;
import rushwood.dispatch.EndpointAddress;
import rushwood.dispatch.PartialEndpoint;

/**
 * The host list as discovery writes it: JSON objects one after the other, laid out in any way, in
 * parts cut anywhere. Each entry is read by itself once the object or what there is of it has
 * ended. One that cannot be read spoils no other: what it still says of a host that leaves is kept,
 * the rest is a fault that names its field.
 */
public final class EndpointListParser {
  /**
   * One object; {@code whole} if it is the whole list. {@code version} is -1 where none can be
   * read, {@code places} are the entries that could be, {@code partials} the others with a host's
   * name, {@code faults} what was wrong. {@code known} if the entries were passed over, since the
   * same list is held. {@code sum} is equal for equal lists, however they are laid out.
   */
  public record EndpointList(
      long version,
      boolean complete,
      boolean unchanged,
      long checksum,
      List<EndpointAddress> endpoints,
      List<PartialEndpoint> partialEndpoints,
      List<String> problems) {
    /** Of all this, the hosts that leave. */
    List<PartialEndpoint> leavingEndpoints() {
      return collectLeaving(endpoints, partialEndpoints);
    }
  }

  /** What was written is no list; what could be read of it until there is in {@code partials}. */
  public static final class UnreadableListException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<PartialEndpoint> leavingEndpoints;

    private UnreadableListException(String reason, List<PartialEndpoint> leavingEndpoints) {
      super(reason);
      this.leavingEndpoints = leavingEndpoints;
    }

    /** Hosts that leave, by what was read before. */
    public List<PartialEndpoint> leavingEndpoints() {
      return leavingEndpoints;
    }
  }

  private static final int MAX_ENTRIES =
      1 << 14; // sixteen times the largest list that is asked for: 5 MB of places
  private static final int MAX_LIST_BYTES =
      4 << 20; // bytes beside space: as many entries of the usual size
  private static final int MAX_ENTRY_BYTES = 16 << 10; // fifty times a usual one
  private static final int MAX_HEADER_BYTES =
      16 << 10; // what stands beside the entries: two fields
  private static final int MAX_PROBLEMS = 20; // told of one object: the rest are like them
  private static final int CHUNK_BYTES = 4 << 10; // of what was read, looked at in one go
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long FNV_PRIME = 1_099_511_628_211L; // of the sum: FNV's, for 64 bits

  private final boolean completeByDefault;
  private final long cachedVersion;
  private final long cachedChecksum;
  private final byte[] chunk = new byte[CHUNK_BYTES];
  private final ByteArrayOutputStream header = new ByteArrayOutputStream(128);
  private EntryBuffer entryBuffer = new EntryBuffer();
  private int depth; // of brackets
  private boolean insideString;
  private boolean escaped;
  private boolean insideEntries; // within the list of entries
  private long checksum;
  private List<EndpointAddress> endpoints = new ArrayList<>();
  private List<PartialEndpoint> partialEndpoints = new ArrayList<>();
  private List<String> problems = new ArrayList<>();

  /** Entries as they were written, one after the other. */
  private static final class EntryBuffer extends ByteArrayOutputStream {
    private int[] ends = new int[64];
    private int count;

    EntryBuffer() {
      super(CHUNK_BYTES);
    }

    void endEntry() {
      if (count == ends.length) {
        ends = Arrays.copyOf(ends, 2 * count);
      }
      ends[count++] = size();
    }

    int openEntryStart() {
      return count == 0 ? 0 : ends[count - 1];
    }

    /** Of what was begun and did not end. */
    String openEntry() {
      return new String(buf, openEntryStart(), size() - openEntryStart(), StandardCharsets.UTF_8);
    }

    void discardOpenEntry() {
      super.count = openEntryStart();
    }

    String get(int i) {
      int from = i == 0 ? 0 : ends[i - 1];
      return new String(buf, from, ends[i] - from, StandardCharsets.UTF_8);
    }
  }

  /** Of changes, as a watch brings them. */
  public EndpointListParser() {
    this(false, -1, 0);
  }

  /**
   * Of the whole list if that is what was {@code asked}; the one of the version and sum held is
   * passed over.
   */
  public EndpointListParser(boolean completeByDefault, long cachedVersion, long cachedChecksum) {
    this.completeByDefault = completeByDefault;
    this.cachedVersion = cachedVersion;
    this.cachedChecksum = cachedChecksum;
  }

  /** Whether nothing is half read. */
  boolean isBetweenLists() {
    return depth == 0;
  }

  /** The next listing in what was read, or null once that is used up. */
  EndpointList next(ByteBuf in) throws UnreadableListException {
    while (in.isReadable()) {
      int size = Math.min(in.readableBytes(), chunk.length);
      in.getBytes(in.readerIndex(), chunk, 0, size);
      for (int i = 0; i < size; i++) {
        EndpointList list = accept(chunk[i]);
        if (list != null) {
          in.skipBytes(i + 1);
          return list;
        }
      }
      in.skipBytes(size);
    }
    return null;
  }

  /** No more comes: a list that is not whole was cut. */
  void finish() throws UnreadableListException {
    if (depth > 0) {
      throw unreadable("it ends in the middle");
    }
  }

  private EndpointList accept(byte next) throws UnreadableListException {
    boolean space = next == ' ' || next == '\t' || next == '\r' || next == '\n';
    if (depth == 0) {
      if (space) {
        return null;
      }
      if (next != '{') {
        throw unreadable(
            "no JSON object: it begins with " + (next > ' ' ? "" + (char) next : next));
      }
      reset();
    }
    if (insideString && next >= 0 && next < ' ') {
      throw unreadable("a text that does not end"); // what was cut runs on into what follows
    }
    return insideString ? acceptInString(next) : acceptOutsideString(next, space);
  }

  private void reset() {
    header.reset();
    entryBuffer = new EntryBuffer(); // a long one is not kept for the short ones after it
    checksum = 0;
    endpoints = new ArrayList<>();
    partialEndpoints = new ArrayList<>();
    problems = new ArrayList<>();
    insideString = false;
    escaped = false;
    insideEntries = false;
  }

  private EndpointList acceptInString(byte next) throws UnreadableListException {
    append(next);
    if (escaped) {
      escaped = false;
    } else if (next == '\\') {
      escaped = true;
    } else if (next == '"') {
      insideString = false;
    }
    return null;
  }

  private EndpointList acceptOutsideString(byte next, boolean space)
      throws UnreadableListException {
    if (space) {
      return null;
    }
    switch (next) {
      case '"' -> {
        append(next);
        insideString = true;
      }
      case '{', '[' -> openBracket(next);
      case '}', ']' -> {
        return closeBracket(next);
      }
      default -> append(next);
    }
    return null;
  }

  private void openBracket(byte next) throws UnreadableListException {
    if (depth == 1
        && next == '['
        && !insideEntries
        && header.toString(StandardCharsets.UTF_8).endsWith("\"servers\":")) {
      insideEntries = true;
      appendToHeader(next);
    } else {
      if (insideEntries && depth == 2) {
        discardNonEntry();
      }
      append(next);
    }
    depth++;
  }

  private EndpointList closeBracket(byte next) throws UnreadableListException {
    depth--;
    if (insideEntries && depth == 1) {
      discardNonEntry();
      insideEntries = false;
      appendToHeader(next);
    } else {
      append(next);
      if (insideEntries && depth == 2) {
        endEntry();
      }
    }
    return depth == 0 ? finishObject() : null;
  }

  /** Commas stand between entries; anything else is not one. */
  private void discardNonEntry() {
    String rest = entryBuffer.openEntry();
    if (!rest.isEmpty() && !rest.equals(",")) {
      addProblem("servers has what is no entry");
    }
    entryBuffer.discardOpenEntry();
  }

  private void append(byte next) throws UnreadableListException {
    if (!insideEntries) {
      appendToHeader(next);
      return;
    }
    checksum = checksum * FNV_PRIME ^ next;
    entryBuffer.write(next);
    if (entryBuffer.size() - entryBuffer.openEntryStart() > MAX_ENTRY_BYTES) {
      throw unreadable("servers has an entry longer than " + MAX_ENTRY_BYTES + " bytes");
    }
    if (entryBuffer.size() > MAX_LIST_BYTES) {
      throw unreadable("servers is longer than " + MAX_LIST_BYTES + " bytes");
    }
  }

  private void appendToHeader(byte next) throws UnreadableListException {
    checksum = checksum * FNV_PRIME ^ next;
    header.write(next);
    if (header.size() > MAX_HEADER_BYTES) {
      throw unreadable("more than " + MAX_HEADER_BYTES + " bytes beside servers");
    }
  }

  private void endEntry() throws UnreadableListException {
    entryBuffer.endEntry();
    if (entryBuffer.count > MAX_ENTRIES) {
      throw unreadable("servers has more than " + MAX_ENTRIES + " entries");
    }
  }

  private void decodeEntries() {
    for (int i = 0; i < entryBuffer.count; i++) {
      try {
        decodeEntry(parseObject(entryBuffer.get(i)));
      } catch (IllegalArgumentException e) {
        addProblem("servers has what is no entry");
      }
    }
  }

  private void decodeEntry(JsonObject entry) {
    try {
      endpoints.add(decodeEndpoint(entry));
    } catch (IllegalArgumentException e) {
      addProblem(e.getMessage());
      PartialEndpoint partial = decodePartial(entry);
      if (partial != null) {
        partialEndpoints.add(partial);
      }
    }
  }

  private void addProblem(String problem) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(problem);
    }
  }

  private EndpointList finishObject() throws UnreadableListException {
    JsonObject list;
    try {
      list = parseObject(header.toString(StandardCharsets.UTF_8));
    } catch (IllegalArgumentException e) {
      throw unreadable(e.getMessage());
    }
    if (completeByDefault
        && checksum == cachedChecksum
        && cachedVersion >= 0
        && version(list) == cachedVersion) {
      return new EndpointList(cachedVersion, true, true, checksum, List.of(), List.of(), List.of());
    }
    decodeEntries();
    return buildList(list);
  }

  private static long version(JsonObject list) {
    try {
      return (long)
          parseNumber(
              requiredElement(list, "version").getAsJsonPrimitive().getAsString(), "version");
    } catch (RuntimeException e) {
      return -1;
    }
  }

  private EndpointList buildList(JsonObject list) {
    long version = version(list);
    if (version < 0) {
      addProblem("version is missing or cannot be read");
    }
    boolean complete = completeByDefault;
    try {
      complete = requiredFlag(list, "full");
    } catch (IllegalArgumentException e) {
      addProblem(e.getMessage());
    }
    if (!list.has("servers") || !list.get("servers").isJsonArray()) {
      addProblem("servers is missing or cannot be read");
      complete = false; // it names no host, and does not say that none is left
    }
    return new EndpointList(
        version,
        complete,
        false,
        checksum,
        List.copyOf(endpoints),
        List.copyOf(partialEndpoints),
        List.copyOf(problems));
  }

  private UnreadableListException unreadable(String reason) {
    decodeEntries();
    PartialEndpoint truncated = insideEntries ? decodeTruncatedEntry() : null;
    if (truncated != null) {
      partialEndpoints.add(truncated);
    }
    List<PartialEndpoint> leavingEndpoints = collectLeaving(endpoints, partialEndpoints);
    reset();
    depth = 0;
    return new UnreadableListException(reason, leavingEndpoints);
  }

  private static List<PartialEndpoint> collectLeaving(
      List<EndpointAddress> endpoints, List<PartialEndpoint> partialEndpoints) {
    return Stream.concat(
            partialEndpoints.stream(),
            endpoints.stream()
                .map(EndpointAddress::endpoint)
                .map(endpoint -> new PartialEndpoint(endpoint.id(), endpoint.state())))
        .filter(each -> each.state() != null && each.state() != Endpoint.State.READY)
        .toList();
  }

  /** What an entry that breaks off says up to its last whole field. */
  private PartialEndpoint decodeTruncatedEntry() {
    String json = entryBuffer.openEntry();
    int end = json.lastIndexOf(',');
    try {
      return end > 0 && json.indexOf('{') == 0
          ? decodePartial(parseObject(json.substring(0, end) + "}"))
          : null;
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private static JsonObject parseObject(String text) {
    try {
      return JsonParser.parseString(text).getAsJsonObject();
    } catch (RuntimeException e) {
      throw new IllegalArgumentException("no JSON object: " + e.getMessage(), e);
    }
  }

  /** Reads a list that is held as an object already, by the same rules. */
  public static EndpointList decode(JsonObject list) {
    EndpointListParser parser = new EndpointListParser(true, -1, 0);
    JsonElement entries = list.get("servers");
    if (entries != null && entries.isJsonArray()) {
      for (JsonElement entry : entries.getAsJsonArray()) {
        if (entry.isJsonObject()) {
          parser.decodeEntry(entry.getAsJsonObject());
        } else {
          parser.addProblem("servers has what is no entry");
        }
      }
    }
    return parser.buildList(list);
  }

  private static EndpointAddress decodeEndpoint(JsonObject entry) {
    Endpoint.State state = decodeState(requiredText(entry, "state"));
    double weight = optionalNumber(entry, "weight", 1);
    if (!(weight > 0)) {
      throw missingOrInvalid("weight");
    }
    boolean primary = entry.has("part") && requiredText(entry, "part").equals("master");
    return new EndpointAddress(
        new Endpoint(
            new HostId(requiredText(entry, "id")),
            new GroupId((int) optionalNumber(entry, "cell", -1)),
            new ZoneId(entry.has("zone") ? requiredText(entry, "zone") : ""),
            weight,
            (long) optionalNumber(entry, "started_ms", 0) * NANOS_PER_MILLI,
            primary,
            state),
        parseAddress(requiredText(entry, "addr")));
  }

  private static Endpoint.State decodeState(String word) {
    return switch (word) {
      case "Ready" -> Endpoint.State.READY;
      case "Terminating" -> Endpoint.State.DRAINING;
      case "Gone" -> Endpoint.State.REMOVED;
      default ->
          throw new IllegalArgumentException(
              "state has the unknown word "
                  + word.substring(0, Math.min(20, word.length())).replaceAll("\\s", "_"));
    };
  }

  /** Which host it is, if that much can be read, and its state if that can be. */
  private static PartialEndpoint decodePartial(JsonObject entry) {
    HostId id;
    try {
      id = new HostId(requiredText(entry, "id"));
    } catch (IllegalArgumentException e) {
      return null;
    }
    try {
      return new PartialEndpoint(id, decodeState(requiredText(entry, "state")));
    } catch (IllegalArgumentException e) {
      return new PartialEndpoint(id, null);
    }
  }

  /** An address as numbers: there are no names to look up. */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    try {
      byte[] ip = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
      if (ip != null) {
        return new InetSocketAddress(
            InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (IllegalArgumentException | UnknownHostException e) {
      // told below
    }
    throw missingOrInvalid("addr");
  }

  private static IllegalArgumentException missingOrInvalid(String field) {
    return new IllegalArgumentException(field + " is missing or cannot be read");
  }

  private static JsonElement requiredElement(JsonObject from, String field) {
    JsonElement value = from.get(field);
    if (value == null || value.isJsonNull()) {
      throw missingOrInvalid(field);
    }
    return value;
  }

  private static String requiredText(JsonObject from, String field) {
    JsonElement value = requiredElement(from, field);
    if (!value.isJsonPrimitive() || value.getAsString().isEmpty()) {
      throw missingOrInvalid(field);
    }
    return value.getAsString();
  }

  private static double optionalNumber(JsonObject from, String field, double absent) {
    return !from.has(field) || from.get(field).isJsonNull()
        ? absent
        : parseNumber(requiredText(from, field), field);
  }

  private static double parseNumber(String text, String field) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw missingOrInvalid(field);
    }
  }

  private static boolean requiredFlag(JsonObject from, String field) {
    String text = requiredText(from, field);
    if (!text.equals("true") && !text.equals("false")) {
      throw missingOrInvalid(field);
    }
    return text.equals("true");
  }
}
