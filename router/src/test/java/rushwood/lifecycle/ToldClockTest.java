package rushwood.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.wire.Bytes;

/**
 * What discovery has and could tell counts 6 s later, with a grace of 15 s too: a start as well as
 * a drain.
 */
class ToldClockTest extends RunningRouter {
  private static final long TOLD = 6000; // ms
  private static final String ANY = Bytes.read("ID", ",d=900");

  private Host starts;
  private int count;

  @Override
  String settings() {
    return super.settings().replace("\"fall\":", "\"drain_grace\":15.0,\"fall\":");
  }

  @BeforeEach
  void another() throws IOException {
    starts = new Host("replica");
  }

  @AfterEach
  void end() throws IOException {
    starts.close();
  }

  /** In the whole list alone: whatever watches there are say nothing of it. */
  private void announceUnheard() {
    registry.list =
        list(
            true,
            entry("a", primary, "Ready"),
            entry("b", replica, "Terminating"),
            entry("c", starts, "Ready"));
  }

  /**
   * Within the time the host that starts is sent to, and after that nothing goes to the one that
   * drains.
   */
  private void heard(Client client) throws Exception {
    long from = System.nanoTime();
    starts.seen.clear();
    while (starts.seen.stream().noneMatch(each -> each.startsWith("SELECT val"))) {
      assertTrue(System.nanoTime() - from < TOLD * 1_000_000, "not sent to within " + TOLD + " ms");
      assertEquals("T D C Z", client.answer(id(ANY, "r" + count++)));
      Thread.sleep(10);
    }
    replica.seen.clear();
    for (int i = 0; i < 20; i++) {
      assertEquals("T D C Z", client.answer(id(ANY, "r" + count++)));
    }
    assertEquals(
        List.of(), replica.seen.stream().filter(each -> each.startsWith("SELECT val")).toList());
  }

  private Client client() throws Exception {
    watched(registry, 41);
    Client client = new Client(port);
    assertEquals("T D C Z", client.answer(id(ANY, "r" + count++)));
    return client;
  }

  @Test
  void aWatchThatSaysNothing() throws Exception {
    try (Client client = client()) {
      announceUnheard();
      heard(client);
    }
  }

  @Test
  void aWatchThatBeatsAndBringsNothing() throws Exception {
    boolean[] over = new boolean[1];
    Standin.thread(
        () -> {
          while (!over[0]) {
            registry.changes.add("");
            Thread.sleep(100);
          }
        });
    try (Client client = client()) {
      announceUnheard();
      heard(client);
    } finally {
      over[0] = true;
    }
  }

  /** The next calls are taken and never answered. */
  @Test
  void callsThatStall() throws Exception {
    try (Client client = client()) {
      registry.stalls = 2;
      registry.cut();
      announceUnheard();
      heard(client);
    }
  }

  /** It is away when the host starts; its return counts. */
  @Test
  void discoveryReturns() throws Exception {
    try (Client client = client()) {
      registry.stalls = 1000;
      registry.cut();
      announceUnheard();
      Thread.sleep(2500);
      registry.stalls = 0;
      heard(client);
    }
  }

  /** Idle clients take every descriptor that they can, and discovery ends its connections then. */
  @Test
  void descriptorsAreTaken() throws Exception {
    List<Socket> idle = new ArrayList<>();
    try (Client client = client()) {
      for (int i = 0; i < 300; i++) {
        Socket socket = new Socket("127.0.0.1", port);
        socket.getOutputStream().write(Bytes.startup());
        idle.add(socket);
      }
      registry.cut();
      announceUnheard();
      heard(client);
    } finally {
      for (Socket each : idle) {
        each.close();
      }
    }
  }
}
