package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.api.Endpoint;
import rushwood.api.HostId;
import rushwood.dispatch.RequestDispatcher.EndpointAddress;
import rushwood.dispatch.RequestDispatcher.PartialEndpoint;

class ListReaderTest {
  private static final String HOST =
      "{\"id\":\"s-1\",\"addr\":\"10.1.0.18:6432\",\"zone\":\"a\",\"cell\":3,"
          + "\"state\":\"Terminating\",\"weight\":1.5,\"started_ms\":1767225600123,\"part\":\"master\"}";
  private static final String OTHER =
      "{\"id\":\"s-2\",\"addr\":\"10.1.0.19:6432\",\"zone\":\"}]\\\"\",\"cell\":3,"
          + "\"state\":\"Ready\"}";
  private static final PartialEndpoint DRAINS =
      new PartialEndpoint(new HostId("s-1"), Endpoint.State.DRAINING);

  @AfterEach
  void released() {
    TestMessages.assertAllReleased();
  }

  private static String list(int version, boolean whole, String hosts) {
    return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":[" + hosts + "]}";
  }

  private static String indented(String json) {
    return new GsonBuilder().setPrettyPrinting().create().toJson(JsonParser.parseString(json));
  }

  private static List<ListReader.Listing> read(ListReader reader, List<ByteBuf> parts)
      throws ListReader.Unreadable {
    List<ListReader.Listing> listings = new ArrayList<>();
    try {
      for (ByteBuf part : parts) {
        for (ListReader.Listing next = reader.next(part); next != null; next = reader.next(part)) {
          listings.add(next);
        }
      }
      reader.end();
    } finally {
      parts.forEach(ByteBuf::release);
    }
    return listings;
  }

  private static List<ListReader.Listing> read(String text) throws ListReader.Unreadable {
    return read(
        new ListReader(), List.of(TestMessages.buffer(text.getBytes(StandardCharsets.UTF_8))));
  }

  private static void checked(String text) {
    TestMessages.forEachFragmentation(
        text.getBytes(StandardCharsets.UTF_8),
        parts -> {
          List<ListReader.Listing> listings;
          try {
            listings = read(new ListReader(), parts);
          } catch (ListReader.Unreadable e) {
            throw new AssertionError(e);
          }
          assertEquals(2, listings.size());
          assertEquals(41, listings.get(0).version());
          assertEquals(
              List.of(true, true, true),
              List.of(
                  listings.get(0).whole(),
                  listings.get(0).places().isEmpty(),
                  listings.get(0).faults().isEmpty()));
          assertEquals(43, listings.get(1).version());
          EndpointAddress place = listings.get(1).places().get(0);
          Endpoint host = place.endpoint();
          assertEquals("/10.1.0.18:6432", place.address().toString());
          assertEquals("s-1", host.id().value());
          assertEquals(3, host.group().value());
          assertEquals(1.5, host.weight());
          assertEquals(1767225600123_000_000L, host.startedAt());
          assertEquals(true, host.primary());
          assertEquals(Endpoint.State.DRAINING, host.state());
          assertEquals("}]\"", listings.get(1).places().get(1).endpoint().zone().value());
        });
  }

  @Test
  void linesCutAnywhere() {
    checked("\n" + list(41, true, "") + "\r\n\n" + list(43, false, HOST + "," + OTHER) + "\n");
  }

  /** The layout says nothing: an indented list is the same list, whole or in a watch. */
  @Test
  void indentedListsCutAnywhere() {
    checked(
        "\n"
            + indented(list(41, true, ""))
            + "\r\n\n\n"
            + indented(list(43, false, HOST + "," + OTHER)));
    checked(
        list(41, true, "").replace(":", " :\t")
            + indented(list(43, false, HOST + "," + OTHER)).replace("\n", "\r\n\r\n"));
  }

  /**
   * One bad entry spoils no other; what it says of its host's leaving counts, and its fault names
   * the field.
   */
  @Test
  void aBadEntryAmongGoodOnes() throws ListReader.Unreadable {
    entry(
        "state has the unknown word Sleeping",
        new PartialEndpoint(new HostId("s-1"), null),
        HOST.replace("Terminating", "Sleeping"));
    entry(
        "state is missing or cannot be read",
        new PartialEndpoint(new HostId("s-1"), null),
        HOST.replace("\"Terminating\"", "null"));
    entry("addr is missing or cannot be read", DRAINS, HOST.replace("10.1.0.18:6432", "a.name:1"));
    entry("addr is missing or cannot be read", DRAINS, HOST.replace(":6432", ":99999"));
    entry("weight is missing or cannot be read", DRAINS, HOST.replace("1.5", "-1"));
    entry(
        "cell is missing or cannot be read", DRAINS, HOST.replace("\"cell\":3", "\"cell\":\"x\""));
    entry("id is missing or cannot be read", null, HOST.replace("\"s-1\"", "null"));
    entry("servers has what is no entry", null, "7");
    entry("servers has what is no entry", null, "[" + HOST + "]");
    entry("servers has what is no entry", null, HOST.replace("\"state\"", "\"state\"7"));
  }

  private static void entry(String fault, PartialEndpoint partial, String bad)
      throws ListReader.Unreadable {
    for (String text : List.of(OTHER + "," + bad, bad + "," + OTHER)) {
      ListReader.Listing listing = read(list(1, true, text)).get(0);
      assertEquals("s-2", listing.places().get(0).endpoint().id().value());
      assertEquals(1, listing.places().size());
      assertEquals(List.of(fault), listing.faults());
      assertEquals(partial == null ? List.of() : List.of(partial), listing.partials());
      assertEquals(DRAINS.equals(partial) ? List.of(DRAINS) : List.of(), listing.leaving());
    }
  }

  /** Where the list has no version or kind its entries count all the same. */
  @Test
  void aBadHead() throws ListReader.Unreadable {
    ListReader.Listing listing = read("{\"servers\":[" + HOST + "]}").get(0);
    assertEquals(List.of(DRAINS), listing.leaving());
    assertEquals(-1, listing.version());
    assertEquals(false, listing.whole());
    assertEquals(2, listing.faults().size());
    listing =
        read(
                new ListReader(true, -1, 0),
                List.of(TestMessages.buffer("{\"version\":3}".getBytes())))
            .get(0);
    assertEquals(false, listing.whole(), "without entries it does not say that there are none");
  }

  /**
   * Cut at any byte: a host that leaves is known from the last byte of its state on, in mid-entry
   * too.
   */
  @Test
  void aCutListSaysWhatItSaid() {
    for (String whole :
        List.of(list(9, true, OTHER + "," + HOST), indented(list(9, true, OTHER + "," + HOST)))) {
      int told = whole.indexOf("Terminating") + "Terminating\",".length();
      for (int cut = whole.indexOf('{') + 1; cut < whole.length(); cut++) {
        String part = whole.substring(0, cut);
        ListReader.Unreadable e = assertThrows(ListReader.Unreadable.class, () -> read(part));
        assertEquals(cut >= told ? List.of(DRAINS) : List.of(), e.partials(), part);
      }
    }
  }

  @Test
  void whatIsNoListIsUnreadable() {
    unreadable("it begins with n", "nonsense");
    unreadable("it begins with [", "[]");
    unreadable("no JSON object", "{\"version\":1,:,\"servers\":[" + HOST + "]}");
    unreadable(
        "a text that does not end",
        "{\"version\":1,\"full\":true,\"servers\":[" + HOST + ",{\"id\":\"a\n\n");
    unreadable("an entry longer", "{\"servers\":[" + HOST + ",{\"id\":\"" + "x".repeat(20_000));
    unreadable("beside servers", "{\"servers\":[" + HOST + "],\"more\":\"" + "x".repeat(20_000));
    unreadable("entries", "{\"servers\":[" + HOST + ",{}".repeat(1 << 14));
  }

  private static void unreadable(String why, String text) {
    ListReader.Unreadable e = assertThrows(ListReader.Unreadable.class, () -> read(text));
    assertTrue(e.getMessage().contains(why), e.getMessage());
    assertEquals(text.contains("s-1") ? List.of(DRAINS) : List.of(), e.partials());
  }

  /**
   * The list that is held is not read again, however it is laid out; any other is, of whatever
   * version.
   */
  @Test
  void theHeldListIsPassedOver() throws ListReader.Unreadable {
    String text = list(41, true, HOST + "," + OTHER);
    long sum = one(text, -1, 0).sum();
    for (String same : List.of(text, indented(text), text.replace(",", " ,\n"))) {
      assertEquals(
          new ListReader.Listing(41, true, true, sum, List.of(), List.of(), List.of()),
          one(same, 41, sum));
    }
    assertEquals(2, one(text, 40, sum).places().size());
    assertEquals(2, one(text, -1, sum).places().size());
    assertEquals(
        Endpoint.State.READY,
        one(text.replace("Terminating", "Ready"), 41, sum).places().get(0).endpoint().state());
    assertEquals(DRAINS, one(text.replace("Ready", "Gone"), 41, sum).leaving().get(0));
    assertEquals(2, one(text.replaceFirst("41", "42"), 41, sum).places().size());
  }

  private static ListReader.Listing one(String text, long held, long sum)
      throws ListReader.Unreadable {
    return read(
            new ListReader(true, held, sum),
            List.of(TestMessages.buffer(text.getBytes(StandardCharsets.UTF_8))))
        .get(0);
  }

  @Test
  void thousandsOfHosts() throws ListReader.Unreadable {
    String hosts =
        IntStream.range(0, 2048)
            .mapToObj(i -> HOST.replace("s-1", "s-" + i))
            .collect(Collectors.joining(","));
    assertEquals(2048, read(indented(list(1, true, hosts))).get(0).places().size());
  }
}
