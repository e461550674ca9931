package rushwood.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rushwood.wire.Bytes;

/**
 * Nothing begins for a client that has gone. Where its access waits no host is in service, or its
 * connection does not come up; then the client goes, then the host takes whatever it is sent. Hosts
 * cannot be told to stop, so that only what is not begun can be kept back.
 */
class ClientGoneTest extends RunningRouter {
  private static final String LONG =
      Bytes.read("ID", ",d=8000"); // half of it is its time in the line
  private static final int LEFT = 150; // ms, over the 100 within which an attempt may still begin
  private static final int CROWD = 50;

  private final List<Client> clients = new ArrayList<>();

  private interface Leaves {
    void go(Client client) throws Exception;
  }

  @Override
  String settings() {
    return super.settings().replace("\"may_cancel\":true", "\"may_cancel\":false");
  }

  @AfterEach
  void close() throws IOException {
    for (Client each : clients) {
      each.close();
    }
  }

  private Client client() throws IOException {
    Client client = new Client(port);
    clients.add(client);
    return client;
  }

  /** No host is in service any more: what comes waits in the line. */
  private Client park() throws Exception {
    Client stays = client();
    assertEquals("T D C Z", stays.answer(id(READ, "first")));
    announce(entry("a", primary, "Terminating"), entry("b", replica, "Terminating"));
    while (!counters(stays).contains("endpoint_lists_updated=1")) {
      Thread.sleep(5);
    }
    replica.seen.clear();
    primary.seen.clear();
    return stays;
  }

  private void awaitTaken(int accesses) throws Exception {
    String counters = "";
    while (!counters.contains("requests_received=" + accesses + " ")) {
      try (Client looks = new Client(port)) {
        counters = counters(looks);
      }
    }
  }

  /**
   * Fifty that wait in the line leave in that way; one that stays is served, and no host hears of
   * the others.
   */
  private void leaveTheLine(Leaves way) throws Exception {
    Client stays = park();
    List<Client> leaving = new ArrayList<>();
    for (int i = 0; i < CROWD; i++) {
      leaving.add(client());
      leaving.get(i).ask(id(LONG, "gone" + i));
    }
    awaitTaken(CROWD + 1);
    for (Client each : leaving) {
      way.go(each);
    }
    Thread.sleep(LEFT);
    Client late = client();
    late.ask(id(LONG, "stays"));
    awaitTaken(CROWD + 2);
    announce(entry("a", primary, "Ready"), entry("b", replica, "Ready"));
    assertEquals("T D C Z", late.read());
    noneOfTheGone();
  }

  private void noneOfTheGone() {
    List<String> seen = new ArrayList<>(replica.seen);
    seen.addAll(primary.seen);
    assertEquals(List.of(), seen.stream().filter(each -> each.contains("id=gone")).toList());
  }

  @Test
  void closed() throws Exception {
    leaveTheLine(Client::close);
  }

  @Test
  void reset() throws Exception {
    leaveTheLine(
        client -> {
          client.socket.setSoLinger(true, 0);
          client.close();
        });
  }

  /** It says so and leaves its socket open. */
  @Test
  void terminated() throws Exception {
    leaveTheLine(client -> client.socket.getOutputStream().write(Bytes.message('X', new byte[0])));
  }

  /** Behind statements that it had written ahead. */
  @Test
  void terminatedBehindMore() throws Exception {
    leaveTheLine(
        client ->
            client
                .socket
                .getOutputStream()
                .write(
                    Bytes.join(
                        Bytes.query(id(LONG, "gone-next")),
                        Bytes.query(""),
                        Bytes.message('X', new byte[0]))));
  }

  /** It wrote more ahead than is kept, and its end stands behind that. */
  @Test
  void closedBehindMuchMore() throws Exception {
    byte[] much =
        Bytes.query(Bytes.write("gone-next", ",d=900").replace("9f03", "9f".repeat(60_000)));
    int[] count = new int[1];
    leaveTheLine(
        client -> {
          for (int i = 0; i < (count[0] < 3 ? 12 : 1); i++) {
            client.socket.getOutputStream().write(much);
          }
          count[0]++;
          client.close();
        });
  }

  private void cancel(byte[] key) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(PATIENCE);
      socket.getOutputStream().write(Bytes.join(new byte[] {0, 0, 0, 16, 4, -46, 22, 46}, key));
      assertEquals(-1, socket.getInputStream().read(), "it is not answered");
    }
  }

  /** By the key that it was given; then the session goes on. */
  @Test
  void cancelled() throws Exception {
    leaveTheLine(
        client -> {
          cancel(client.key);
          assertEquals("E(57014) Z", client.read());
          assertEquals("I Z", client.answer(""));
        });
  }

  /** A wrong key, one of a session that rests, one of a session that is over: nothing happens. */
  @Test
  void cancelledByAnother() throws Exception {
    Client over = client();
    over.close();
    Client stays = park();
    Client waits = client();
    waits.ask(id(LONG, "waits"));
    awaitTaken(2);
    byte[] wrong = Arrays.copyOf(waits.key, 8);
    wrong[7] ^= 1;
    for (byte[] key : List.of(wrong, new byte[8], stays.key, over.key)) {
      cancel(key);
    }
    announce(entry("a", primary, "Ready"), entry("b", replica, "Ready"));
    assertEquals("T D C Z", waits.read());
    assertEquals("T D C Z", stays.answer(id(READ, "second")));
  }

  /** The connection that its attempt was to go on comes up after it left. */
  @Test
  void whileAConnectionComesUp() throws Exception {
    for (Leaves way :
        List.<Leaves>of(
            Client::close,
            client -> cancel(client.key),
            client -> client.socket.getOutputStream().write(Bytes.message('X', new byte[0])))) {
      CountDownLatch up = new CountDownLatch(1);
      replica.welcomes = up;
      primary.welcomes = up;
      replica.cut();
      primary.cut();
      Thread.sleep(50);
      Client stays = client();
      int before = taken(stays);
      Client leaves = client();
      leaves.ask(id(LONG, "gone" + before));
      awaitTaken(before + 1);
      way.go(leaves);
      Thread.sleep(LEFT);
      up.countDown();
      Thread.sleep(100);
      noneOfTheGone();
      assertEquals("T D C Z", stays.answer(id(READ, "stays" + before)));
    }
  }

  private static int taken(Client client) throws IOException {
    return Integer.parseInt(counters(client).replaceAll(".*requests_received=(\\d+) .*", "$1"));
  }

  /**
   * The process stands still; clients ask and leave, on connections that are open and on new ones,
   * also unaccepted.
   */
  @Test
  void whileTheProcessStandsStill() throws Exception {
    Client stays = client();
    assertEquals("T D C Z", stays.answer(id(READ, "first")));
    List<Client> known = new ArrayList<>();
    for (int i = 0; i < CROWD; i++) {
      known.add(client());
    }
    signal("STOP");
    for (int i = 0; i < CROWD; i++) {
      known.get(i).ask(id(LONG, "gone-known" + i));
      known.get(i).close();
      try (Socket unaccepted = new Socket("127.0.0.1", port)) {
        unaccepted
            .getOutputStream()
            .write(Bytes.join(Bytes.startup(), Bytes.query(id(LONG, "gone" + i))));
      }
    }
    Thread.sleep(LEFT);
    signal("CONT");
    assertEquals("T D C Z", stays.answer(id(READ, "second")));
    Thread.sleep(100);
    noneOfTheGone();
  }

  /** A slot is handed over in the turn in which its receiver's end waits unread. */
  @Test
  void asASlotIsHandedOver() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    primary.answer =
        statement -> {
          try {
            release.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return Bytes.join(Bytes.row("v"), Bytes.parameter("part", "master"), Bytes.ready());
        };
    Client stays = client();
    List<Client> waiting = new ArrayList<>();
    for (int i = 0; i < CROWD; i++) {
      waiting.add(client());
      waiting.get(i).ask(Bytes.write("gone" + i, ",d=4000"));
    }
    awaitTaken(CROWD);
    Thread.sleep(LEFT);
    int begun = primary.seen.size();
    assertTrue(begun > 0 && begun < CROWD, begun + " of them were begun at once");
    signal("STOP");
    release.countDown();
    for (Client each : waiting) {
      each.close();
    }
    Thread.sleep(LEFT);
    signal("CONT");
    Thread.sleep(300);
    assertEquals(begun, primary.seen.size(), "no slot that was freed went to one that had left");
  }
}
