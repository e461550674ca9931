package rushwood.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import rushwood.api.Endpoint;
import rushwood.api.HostId;
import rushwood.dispatch.EndpointAddress;
import rushwood.dispatch.PartialEndpoint;
import rushwood.protocol.TestMessages;

class EndpointListParserTest {
  private static final String DRAINING_ENTRY =
      "{\"id\":\"s-1\",\"addr\":\"10.1.0.18:6432\",\"zone\":\"a\",\"cell\":3,"
          + "\"state\":\"Terminating\",\"weight\":1.5,\"started_ms\":1767225600123,\"part\":\"master\"}";
  private static final String READY_ENTRY =
      "{\"id\":\"s-2\",\"addr\":\"10.1.0.19:6432\",\"zone\":\"}]\\\"\",\"cell\":3,"
          + "\"state\":\"Ready\"}";
  private static final PartialEndpoint DRAINING_ENDPOINT =
      new PartialEndpoint(new HostId("s-1"), Endpoint.State.DRAINING);

  @AfterEach
  void assertBuffersReleased() {
    TestMessages.assertAllReleased();
  }

  private static String list(int version, boolean complete, String entries) {
    return "{\"version\":" + version + ",\"full\":" + complete + ",\"servers\":[" + entries + "]}";
  }

  private static String indented(String json) {
    return new GsonBuilder().setPrettyPrinting().create().toJson(JsonParser.parseString(json));
  }

  private static List<EndpointList> parse(EndpointListParser parser, List<ByteBuf> parts)
      throws UnreadableListException {
    List<EndpointList> lists = new ArrayList<>();
    try {
      for (ByteBuf part : parts) {
        for (EndpointList next = parser.next(part); next != null; next = parser.next(part)) {
          lists.add(next);
        }
      }
      parser.finish();
    } finally {
      parts.forEach(ByteBuf::release);
    }
    return lists;
  }

  private static List<EndpointList> parse(String text) throws UnreadableListException {
    return parse(
        EndpointListParser.forWatch(),
        List.of(TestMessages.buffer(text.getBytes(StandardCharsets.UTF_8))));
  }

  private static void assertParsedInAnyFragmentation(String text) {
    TestMessages.forEachFragmentation(
        text.getBytes(StandardCharsets.UTF_8),
        parts -> {
          List<EndpointList> lists;
          try {
            lists = parse(EndpointListParser.forWatch(), parts);
          } catch (UnreadableListException e) {
            throw new AssertionError(e);
          }
          assertEquals(2, lists.size());
          assertEquals(OptionalLong.of(41), lists.get(0).version());
          assertEquals(
              List.of(true, true, true),
              List.of(
                  lists.get(0).complete(),
                  lists.get(0).endpoints().isEmpty(),
                  lists.get(0).problems().isEmpty()));
          assertEquals(OptionalLong.of(43), lists.get(1).version());
          EndpointAddress endpoint = lists.get(1).endpoints().get(0);
          Endpoint host = endpoint.endpoint();
          assertEquals("/10.1.0.18:6432", endpoint.address().toString());
          assertEquals("s-1", host.id().value());
          assertEquals(3, host.group().value());
          assertEquals(1.5, host.weight());
          assertEquals(1767225600123_000_000L, host.startedAt());
          assertEquals(true, host.primary());
          assertEquals(Endpoint.State.DRAINING, host.state());
          assertEquals("}]\"", lists.get(1).endpoints().get(1).endpoint().zone().value());
        });
  }

  @Test
  void compactListsInAnyFragmentation() {
    assertParsedInAnyFragmentation(
        "\n"
            + list(41, true, "")
            + "\r\n\n"
            + list(43, false, DRAINING_ENTRY + "," + READY_ENTRY)
            + "\n");
  }

  /** White space must not affect parsing. */
  @Test
  void indentedListsInAnyFragmentation() {
    assertParsedInAnyFragmentation(
        "\n"
            + indented(list(41, true, ""))
            + "\r\n\n\n"
            + indented(list(43, false, DRAINING_ENTRY + "," + READY_ENTRY)));
    assertParsedInAnyFragmentation(
        list(41, true, "").replace(":", " :\t")
            + indented(list(43, false, DRAINING_ENTRY + "," + READY_ENTRY))
                .replace("\n", "\r\n\r\n"));
  }

  /**
   * An invalid entry.
   *
   * @param problem the problem reported for it
   * @param partial the host and state that can be read; empty if the host cannot be read
   */
  private record InvalidEntry(String json, String problem, Optional<PartialEndpoint> partial) {}

  private static List<InvalidEntry> invalidEntries() {
    Optional<PartialEndpoint> draining = Optional.of(DRAINING_ENDPOINT);
    Optional<PartialEndpoint> withoutState =
        Optional.of(new PartialEndpoint(new HostId("s-1"), null));
    Optional<PartialEndpoint> none = Optional.empty();
    return List.of(
        new InvalidEntry(
            DRAINING_ENTRY.replace("Terminating", "Sleeping"),
            "state has the unknown value Sleeping",
            withoutState),
        new InvalidEntry(
            DRAINING_ENTRY.replace("\"Terminating\"", "null"),
            "state is missing or cannot be read",
            withoutState),
        new InvalidEntry(
            DRAINING_ENTRY.replace("10.1.0.18:6432", "a.name:1"),
            "addr is missing or cannot be read",
            draining),
        new InvalidEntry(
            DRAINING_ENTRY.replace(":6432", ":99999"),
            "addr is missing or cannot be read",
            draining),
        new InvalidEntry(
            DRAINING_ENTRY.replace("1.5", "-1"), "weight is missing or cannot be read", draining),
        new InvalidEntry(
            DRAINING_ENTRY.replace("\"cell\":3", "\"cell\":\"x\""),
            "cell is missing or cannot be read",
            draining),
        new InvalidEntry(
            DRAINING_ENTRY.replace("\"s-1\"", "null"), "id is missing or cannot be read", none),
        new InvalidEntry("7", "servers has an element that is not an entry", none),
        new InvalidEntry(
            "[" + DRAINING_ENTRY + "]", "servers has an element that is not an entry", none),
        new InvalidEntry(
            DRAINING_ENTRY.replace("\"state\"", "\"state\"7"),
            "servers has an element that is not an entry",
            none));
  }

  /**
   * An invalid entry affects no entry before or after it. The host and state that can be read of it
   * are used, and the reported problem names the field.
   */
  @ParameterizedTest
  @MethodSource("invalidEntries")
  void invalidEntryDoesNotAffectOthers(InvalidEntry invalid) throws UnreadableListException {
    for (String entries :
        List.of(READY_ENTRY + "," + invalid.json(), invalid.json() + "," + READY_ENTRY)) {
      EndpointList list = parse(list(1, true, entries)).get(0);
      assertEquals("s-2", list.endpoints().get(0).endpoint().id().value());
      assertEquals(1, list.endpoints().size());
      assertEquals(List.of(invalid.problem()), list.problems());
      assertEquals(invalid.partial().stream().toList(), list.partialEndpoints());
      assertEquals(
          invalid.partial().filter(DRAINING_ENDPOINT::equals).stream().toList(),
          list.leavingEndpoints());
    }
  }

  /** The entries are used even if the version or the flag of a complete list is missing. */
  @Test
  void invalidHeaderKeepsEntries() throws UnreadableListException {
    EndpointList list = parse("{\"servers\":[" + DRAINING_ENTRY + "]}").get(0);
    assertEquals(List.of(DRAINING_ENDPOINT), list.leavingEndpoints());
    assertEquals(OptionalLong.empty(), list.version());
    assertEquals(false, list.complete());
    assertEquals(2, list.problems().size());
    list =
        parse(
                EndpointListParser.forPoll(OptionalLong.empty(), 0),
                List.of(TestMessages.buffer("{\"version\":3}".getBytes(StandardCharsets.UTF_8))))
            .get(0);
    assertEquals(
        false, list.complete(), "a missing array of entries does not mean that there are none");
  }

  /**
   * Truncates a list at every byte. A draining host must be reported if its state was received,
   * even if the rest of its entry was not.
   */
  @Test
  void truncatedListReportsLeavingEndpoints() {
    for (String complete :
        List.of(
            list(9, true, READY_ENTRY + "," + DRAINING_ENTRY),
            indented(list(9, true, READY_ENTRY + "," + DRAINING_ENTRY)))) {
      int stateEnd = complete.indexOf("Terminating") + "Terminating\",".length();
      for (int cut = complete.indexOf('{') + 1; cut < complete.length(); cut++) {
        String part = complete.substring(0, cut);
        UnreadableListException e = assertThrows(UnreadableListException.class, () -> parse(part));
        assertEquals(
            cut >= stateEnd ? List.of(DRAINING_ENDPOINT) : List.of(), e.leavingEndpoints(), part);
      }
    }
  }

  /** A state with escape sequences must be found, although it does not contain its literal name. */
  @Test
  void truncatedListReportsLeavingEndpointsWithEscapes() {
    String escaped = DRAINING_ENTRY.replace("Terminating", "\\u0054erminating");
    String complete = list(9, true, READY_ENTRY + "," + escaped);
    String text = complete.substring(0, complete.length() - 1);
    var unreadable = assertThrows(UnreadableListException.class, () -> parse(text));
    assertEquals(List.of(DRAINING_ENDPOINT), unreadable.leavingEndpoints());
  }

  /**
   * A list with thousands of invalid entries is parsed on the event loop, where a stack trace for
   * each would take too long.
   */
  @Test
  void exceptionsForEntriesHaveNoStackTrace() {
    assertEquals(0, InvalidFieldException.missingOrUnreadable("id").getStackTrace().length);
    assertEquals(0, new MalformedListException("not a JSON object").getStackTrace().length);
  }

  @Test
  void malformedInputIsRejected() {
    assertUnreadable("expected a JSON object but found n", "nonsense");
    assertUnreadable("expected a JSON object but found [", "[]");
    assertUnreadable("not a JSON object", "{\"version\":1,:,\"servers\":[" + DRAINING_ENTRY + "]}");
    assertUnreadable(
        "unterminated string",
        "{\"version\":1,\"full\":true,\"servers\":[" + DRAINING_ENTRY + ",{\"id\":\"a\n\n");
    assertUnreadable(
        "an entry longer", "{\"servers\":[" + DRAINING_ENTRY + ",{\"id\":\"" + "x".repeat(20_000));
    assertUnreadable(
        "outside servers",
        "{\"servers\":[" + DRAINING_ENTRY + "],\"more\":\"" + "x".repeat(20_000));
    assertUnreadable("entries", "{\"servers\":[" + DRAINING_ENTRY + ",{}".repeat(1 << 14));
  }

  private static void assertUnreadable(String reason, String text) {
    UnreadableListException e = assertThrows(UnreadableListException.class, () -> parse(text));
    assertTrue(e.getMessage().contains(reason), e.getMessage());
    assertEquals(
        text.contains("s-1") ? List.of(DRAINING_ENDPOINT) : List.of(), e.leavingEndpoints());
  }

  /** The cached list is not decoded again, regardless of its white space; other lists are. */
  @Test
  void cachedListIsNotDecodedAgain() throws UnreadableListException {
    String text = list(41, true, DRAINING_ENTRY + "," + READY_ENTRY);
    long checksum = parseComplete(text, OptionalLong.empty(), 0).checksum();
    for (String sameList : List.of(text, indented(text), text.replace(",", " ,\n"))) {
      assertEquals(
          new EndpointList(
              OptionalLong.of(41), true, true, checksum, List.of(), List.of(), List.of()),
          parseComplete(sameList, OptionalLong.of(41), checksum));
    }
    assertEquals(2, parseComplete(text, OptionalLong.of(40), checksum).endpoints().size());
    assertEquals(2, parseComplete(text, OptionalLong.empty(), checksum).endpoints().size());
    assertEquals(
        Endpoint.State.READY,
        parseComplete(text.replace("Terminating", "Ready"), OptionalLong.of(41), checksum)
            .endpoints()
            .get(0)
            .endpoint()
            .state());
    assertEquals(
        DRAINING_ENDPOINT,
        parseComplete(text.replace("Ready", "Gone"), OptionalLong.of(41), checksum)
            .leavingEndpoints()
            .get(0));
    assertEquals(
        2,
        parseComplete(text.replaceFirst("41", "42"), OptionalLong.of(41), checksum)
            .endpoints()
            .size());
  }

  private static EndpointList parseComplete(String text, OptionalLong cachedVersion, long checksum)
      throws UnreadableListException {
    return parse(
            EndpointListParser.forPoll(cachedVersion, checksum),
            List.of(TestMessages.buffer(text.getBytes(StandardCharsets.UTF_8))))
        .get(0);
  }

  @Test
  void thousandsOfEntries() throws UnreadableListException {
    String entries =
        IntStream.range(0, 2048)
            .mapToObj(i -> DRAINING_ENTRY.replace("s-1", "s-" + i))
            .collect(Collectors.joining(","));
    assertEquals(2048, parse(indented(list(1, true, entries))).get(0).endpoints().size());
  }
}
