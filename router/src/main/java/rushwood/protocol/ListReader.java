package rushwood.protocol;

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
import rushwood.dispatch.RequestDispatcher.EndpointAddress;
import rushwood.dispatch.RequestDispatcher.PartialEndpoint;

/**
 * The host list as discovery writes it: JSON objects one after the other, laid out in any way, in
 * parts cut anywhere. Each entry is read by itself once the object or what there is of it has
 * ended. One that cannot be read spoils no other: what it still says of a host that leaves is kept,
 * the rest is a fault that names its field.
 */
public final class ListReader {
  /**
   * One object; {@code whole} if it is the whole list. {@code version} is -1 where none can be
   * read, {@code places} are the entries that could be, {@code partials} the others with a host's
   * name, {@code faults} what was wrong. {@code known} if the entries were passed over, since the
   * same list is held. {@code sum} is equal for equal lists, however they are laid out.
   */
  public record Listing(
      long version,
      boolean whole,
      boolean known,
      long sum,
      List<EndpointAddress> places,
      List<PartialEndpoint> partials,
      List<String> faults) {
    /** Of all this, the hosts that leave. */
    List<PartialEndpoint> leaving() {
      return leavingOf(places, partials);
    }
  }

  /** What was written is no list; what could be read of it until there is in {@code partials}. */
  public static final class Unreadable extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<PartialEndpoint> partials;

    private Unreadable(String why, List<PartialEndpoint> partials) {
      super(why);
      this.partials = partials;
    }

    /** Hosts that leave, by what was read before. */
    public List<PartialEndpoint> partials() {
      return partials;
    }
  }

  private static final int MOST_ENTRIES =
      1 << 14; // sixteen times the largest list that is asked for: 5 MB of places
  private static final int LONGEST =
      4 << 20; // bytes beside space: as many entries of the usual size
  private static final int LONGEST_ENTRY = 16 << 10; // fifty times a usual one
  private static final int LONGEST_HEAD = 16 << 10; // what stands beside the entries: two fields
  private static final int MOST_FAULTS = 20; // told of one object: the rest are like them
  private static final int PART = 4 << 10; // of what was read, looked at in one go
  private static final long MS = 1_000_000L;
  private static final long FACTOR = 1_099_511_628_211L; // of the sum: FNV's, for 64 bits

  private final boolean asked;
  private final long held;
  private final long heldSum;
  private final byte[] part = new byte[PART];
  private final ByteArrayOutputStream head = new ByteArrayOutputStream(128);
  private Entries written = new Entries();
  private int depth; // of brackets
  private boolean text;
  private boolean escaped;
  private boolean entries; // within the list of entries
  private long sum;
  private List<EndpointAddress> places = new ArrayList<>();
  private List<PartialEndpoint> partials = new ArrayList<>();
  private List<String> faults = new ArrayList<>();

  /** Entries as they were written, one after the other. */
  private static final class Entries extends ByteArrayOutputStream {
    private int[] ends = new int[64];
    private int count;

    Entries() {
      super(PART);
    }

    void end() {
      if (count == ends.length) {
        ends = Arrays.copyOf(ends, 2 * count);
      }
      ends[count++] = size();
    }

    int begun() {
      return count == 0 ? 0 : ends[count - 1];
    }

    /** Of what was begun and did not end. */
    String rest() {
      return new String(buf, begun(), size() - begun(), StandardCharsets.UTF_8);
    }

    void dropRest() {
      super.count = begun();
    }

    String get(int i) {
      int from = i == 0 ? 0 : ends[i - 1];
      return new String(buf, from, ends[i] - from, StandardCharsets.UTF_8);
    }
  }

  /** Of changes, as a watch brings them. */
  public ListReader() {
    this(false, -1, 0);
  }

  /**
   * Of the whole list if that is what was {@code asked}; the one of the version and sum held is
   * passed over.
   */
  public ListReader(boolean asked, long held, long heldSum) {
    this.asked = asked;
    this.held = held;
    this.heldSum = heldSum;
  }

  /** Whether nothing is half read. */
  boolean isBetween() {
    return depth == 0;
  }

  /** The next listing in what was read, or null once that is used up. */
  Listing next(ByteBuf in) throws Unreadable {
    while (in.isReadable()) {
      int size = Math.min(in.readableBytes(), part.length);
      in.getBytes(in.readerIndex(), part, 0, size);
      for (int i = 0; i < size; i++) {
        Listing listing = take(part[i]);
        if (listing != null) {
          in.skipBytes(i + 1);
          return listing;
        }
      }
      in.skipBytes(size);
    }
    return null;
  }

  /** No more comes: a list that is not whole was cut. */
  void end() throws Unreadable {
    if (depth > 0) {
      throw unreadable("it ends in the middle");
    }
  }

  private Listing take(byte next) throws Unreadable {
    boolean space = next == ' ' || next == '\t' || next == '\r' || next == '\n';
    if (depth == 0) {
      if (space) {
        return null;
      }
      if (next != '{') {
        throw unreadable(
            "no JSON object: it begins with " + (next > ' ' ? "" + (char) next : next));
      }
      begin();
    }
    if (text && next >= 0 && next < ' ') {
      throw unreadable("a text that does not end"); // what was cut runs on into what follows
    }
    return text ? inText(next) : structure(next, space);
  }

  private void begin() {
    head.reset();
    written = new Entries(); // a long one is not kept for the short ones after it
    sum = 0;
    places = new ArrayList<>();
    partials = new ArrayList<>();
    faults = new ArrayList<>();
    text = false;
    escaped = false;
    entries = false;
  }

  private Listing inText(byte next) throws Unreadable {
    keep(next);
    if (escaped) {
      escaped = false;
    } else if (next == '\\') {
      escaped = true;
    } else if (next == '"') {
      text = false;
    }
    return null;
  }

  private Listing structure(byte next, boolean space) throws Unreadable {
    if (space) {
      return null;
    }
    switch (next) {
      case '"' -> {
        keep(next);
        text = true;
      }
      case '{', '[' -> open(next);
      case '}', ']' -> {
        return close(next);
      }
      default -> keep(next);
    }
    return null;
  }

  private void open(byte next) throws Unreadable {
    if (depth == 1
        && next == '['
        && !entries
        && head.toString(StandardCharsets.UTF_8).endsWith("\"servers\":")) {
      entries = true;
      keepHead(next);
    } else {
      if (entries && depth == 2) {
        junk();
      }
      keep(next);
    }
    depth++;
  }

  private Listing close(byte next) throws Unreadable {
    depth--;
    if (entries && depth == 1) {
      junk();
      entries = false;
      keepHead(next);
    } else {
      keep(next);
      if (entries && depth == 2) {
        entryEnds();
      }
    }
    return depth == 0 ? whole() : null;
  }

  /** Commas stand between entries; anything else is not one. */
  private void junk() {
    String rest = written.rest();
    if (!rest.isEmpty() && !rest.equals(",")) {
      fault("servers has what is no entry");
    }
    written.dropRest();
  }

  private void keep(byte next) throws Unreadable {
    if (!entries) {
      keepHead(next);
      return;
    }
    sum = sum * FACTOR ^ next;
    written.write(next);
    if (written.size() - written.begun() > LONGEST_ENTRY) {
      throw unreadable("servers has an entry longer than " + LONGEST_ENTRY + " bytes");
    }
    if (written.size() > LONGEST) {
      throw unreadable("servers is longer than " + LONGEST + " bytes");
    }
  }

  private void keepHead(byte next) throws Unreadable {
    sum = sum * FACTOR ^ next;
    head.write(next);
    if (head.size() > LONGEST_HEAD) {
      throw unreadable("more than " + LONGEST_HEAD + " bytes beside servers");
    }
  }

  private void entryEnds() throws Unreadable {
    written.end();
    if (written.count > MOST_ENTRIES) {
      throw unreadable("servers has more than " + MOST_ENTRIES + " entries");
    }
  }

  private void readEntries() {
    for (int i = 0; i < written.count; i++) {
      try {
        readEntry(parse(written.get(i)));
      } catch (IllegalArgumentException e) {
        fault("servers has what is no entry");
      }
    }
  }

  private void readEntry(JsonObject host) {
    try {
      places.add(place(host));
    } catch (IllegalArgumentException e) {
      fault(e.getMessage());
      PartialEndpoint partial = partial(host);
      if (partial != null) {
        partials.add(partial);
      }
    }
  }

  private void fault(String what) {
    if (faults.size() < MOST_FAULTS) {
      faults.add(what);
    }
  }

  private Listing whole() throws Unreadable {
    JsonObject list;
    try {
      list = parse(head.toString(StandardCharsets.UTF_8));
    } catch (IllegalArgumentException e) {
      throw unreadable(e.getMessage());
    }
    if (asked && sum == heldSum && held >= 0 && version(list) == held) {
      return new Listing(held, true, true, sum, List.of(), List.of(), List.of());
    }
    readEntries();
    return listing(list);
  }

  private static long version(JsonObject list) {
    try {
      return (long) number(need(list, "version").getAsJsonPrimitive().getAsString(), "version");
    } catch (RuntimeException e) {
      return -1;
    }
  }

  private Listing listing(JsonObject list) {
    long version = version(list);
    if (version < 0) {
      fault("version is missing or cannot be read");
    }
    boolean full = asked;
    try {
      full = flag(list, "full");
    } catch (IllegalArgumentException e) {
      fault(e.getMessage());
    }
    if (!list.has("servers") || !list.get("servers").isJsonArray()) {
      fault("servers is missing or cannot be read");
      full = false; // it names no host, and does not say that none is left
    }
    return new Listing(
        version, full, false, sum, List.copyOf(places), List.copyOf(partials), List.copyOf(faults));
  }

  private Unreadable unreadable(String why) {
    readEntries();
    PartialEndpoint cut = entries ? cut() : null;
    if (cut != null) {
      partials.add(cut);
    }
    List<PartialEndpoint> leaving = leavingOf(places, partials);
    begin();
    depth = 0;
    return new Unreadable(why, leaving);
  }

  private static List<PartialEndpoint> leavingOf(
      List<EndpointAddress> places, List<PartialEndpoint> partials) {
    return Stream.concat(
            partials.stream(),
            places.stream()
                .map(EndpointAddress::endpoint)
                .map(host -> new PartialEndpoint(host.id(), host.state())))
        .filter(each -> each.state() != null && each.state() != Endpoint.State.READY)
        .toList();
  }

  /** What an entry that breaks off says up to its last whole field. */
  private PartialEndpoint cut() {
    String json = written.rest();
    int end = json.lastIndexOf(',');
    try {
      return end > 0 && json.indexOf('{') == 0
          ? partial(parse(json.substring(0, end) + "}"))
          : null;
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private static JsonObject parse(String text) {
    try {
      return JsonParser.parseString(text).getAsJsonObject();
    } catch (RuntimeException e) {
      throw new IllegalArgumentException("no JSON object: " + e.getMessage(), e);
    }
  }

  /** Reads a list that is held as an object already, by the same rules. */
  public static Listing read(JsonObject list) {
    ListReader reader = new ListReader(true, -1, 0);
    JsonElement servers = list.get("servers");
    if (servers != null && servers.isJsonArray()) {
      for (JsonElement each : servers.getAsJsonArray()) {
        if (each.isJsonObject()) {
          reader.readEntry(each.getAsJsonObject());
        } else {
          reader.fault("servers has what is no entry");
        }
      }
    }
    return reader.listing(list);
  }

  private static EndpointAddress place(JsonObject host) {
    Endpoint.State state = state(text(host, "state"));
    double weight = number(host, "weight", 1);
    if (!(weight > 0)) {
      throw bad("weight");
    }
    boolean primary = host.has("part") && text(host, "part").equals("master");
    return new EndpointAddress(
        new Endpoint(
            new HostId(text(host, "id")),
            new GroupId((int) number(host, "cell", -1)),
            new ZoneId(host.has("zone") ? text(host, "zone") : ""),
            weight,
            (long) number(host, "started_ms", 0) * MS,
            primary,
            state),
        address(text(host, "addr")));
  }

  private static Endpoint.State state(String word) {
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
  private static PartialEndpoint partial(JsonObject host) {
    HostId id;
    try {
      id = new HostId(text(host, "id"));
    } catch (IllegalArgumentException e) {
      return null;
    }
    try {
      return new PartialEndpoint(id, state(text(host, "state")));
    } catch (IllegalArgumentException e) {
      return new PartialEndpoint(id, null);
    }
  }

  /** An address as numbers: there are no names to look up. */
  public static InetSocketAddress address(String text) {
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
    throw bad("addr");
  }

  private static IllegalArgumentException bad(String field) {
    return new IllegalArgumentException(field + " is missing or cannot be read");
  }

  private static JsonElement need(JsonObject from, String field) {
    JsonElement value = from.get(field);
    if (value == null || value.isJsonNull()) {
      throw bad(field);
    }
    return value;
  }

  private static String text(JsonObject from, String field) {
    JsonElement value = need(from, field);
    if (!value.isJsonPrimitive() || value.getAsString().isEmpty()) {
      throw bad(field);
    }
    return value.getAsString();
  }

  private static double number(JsonObject from, String field, double absent) {
    return !from.has(field) || from.get(field).isJsonNull()
        ? absent
        : number(text(from, field), field);
  }

  private static double number(String text, String field) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw bad(field);
    }
  }

  private static boolean flag(JsonObject from, String field) {
    String text = text(from, field);
    if (!text.equals("true") && !text.equals("false")) {
      throw bad(field);
    }
    return text.equals("true");
  }
}
