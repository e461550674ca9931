package rushwood.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.wire.Bytes;

/**
 * SIGTERM and SIGHUP at any moment of a process: each request that was taken has its whole answer.
 */
class ShutdownTest extends RunningRouter {
  // The longest deadline of the settings, 5 s, taken as 3 s, and 0.7 s more: then SIGKILL comes.
  private static final long ENDS_WITHIN = 3700; // ms
  private static final long CLOSES_WITHIN =
      700; // ms: a request that comes later and finds no answer is lost

  private int wanted;

  @Override
  int wanted() {
    return wanted;
  }

  @Override
  @BeforeEach
  void start() throws Exception {
    try (ServerSocket free = new ServerSocket(0)) {
      wanted = free.getLocalPort();
    }
    port = wanted;
    prepare();
  }

  /** Sent as a signal, at once; its output stays open. */
  private long terminate() {
    process.toHandle().destroy();
    return System.nanoTime();
  }

  private void endedInTime(long told) throws InterruptedException {
    assertTrue(process.waitFor(PATIENCE, TimeUnit.MILLISECONDS));
    long took = (System.nanoTime() - told) / 1_000_000;
    assertTrue(took < ENDS_WITHIN, "it ended after " + took + " ms");
  }

  /** In the moment in which it first can be reached, with a request on its way. */
  @Test
  void asItBeginsToListen() throws Exception {
    for (int i = 0; i < 3; i++) {
      launch();
      Socket socket = null;
      while (socket == null) {
        try {
          socket = new Socket("127.0.0.1", port);
        } catch (IOException notYet) {
          Thread.onSpinWait();
        }
      }
      socket.getOutputStream().write(Bytes.join(Bytes.startup(), Bytes.query(id(READ, "r" + i))));
      long told = terminate();
      socket.setSoTimeout(PATIENCE);
      assertEquals("R S S S S S K Z T D C Z", Bytes.types(socket.getInputStream().readAllBytes()));
      socket.close();
      endedInTime(told);
    }
  }

  /** Before it listens: it never does, and ends at once. */
  @Test
  void beforeItListens() throws Exception {
    registry.stalls = 1000;
    for (long after : new long[] {0, 300, 600, 900, 1200}) {
      launch();
      Thread.sleep(after);
      long told = terminate();
      assertTrue(process.waitFor(PATIENCE, TimeUnit.MILLISECONDS));
      assertTrue(
          System.nanoTime() - told < 2_500_000_000L
              || log.stream().anyMatch(each -> each.contains("serves at")),
          "it ends at once");
    }
  }

  /** It serves on its connections while it can, as its clients find no other router so soon. */
  @Test
  void servesUntilItsLastMoment() throws Exception {
    serving();
    Thread.sleep(500); // no pause of its first moments is near
    try (Client rests = new Client(port)) {
      long told = terminate();
      int count = 0;
      while (System.nanoTime() - told < 2_300_000_000L) {
        assertEquals("T D C Z", rests.answer(id(READ, "r" + count++)));
        Thread.sleep(10);
      }
      assertTrue(rests.ended());
      endedInTime(told);
    }
  }

  /**
   * One that stood still lately may do so again: a client that rests sees its connection end in
   * time for that.
   */
  @Test
  void closesWhatRestsAfterAPause() throws Exception {
    serving();
    signal("STOP");
    Thread.sleep(1600);
    signal("CONT");
    Thread.sleep(200); // what comes right behind a pause may have come at its start
    try (Client rests = new Client(port);
        Client waits = new Client(port)) {
      assertEquals("T D C Z", rests.answer(id(READ, "r1")));
      replica.answer =
          statement -> {
            try {
              Thread.sleep(1000);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            return Bytes.join(Bytes.row("v"), Bytes.parameter("part", "replica"), Bytes.ready());
          };
      primary.answer = replica.answer;
      waits.ask(id(READ, "r2").replace("d=900", "d=3000"));
      Thread.sleep(200);
      long told = terminate();
      assertTrue(rests.ended());
      long took = (System.nanoTime() - told) / 1_000_000;
      assertTrue(
          took > 200 && took < CLOSES_WITHIN,
          "not at once, as new ones come: after " + took + " ms");
      assertEquals("T D C Z", waits.read());
      assertTrue(waits.ended());
      endedInTime(told);
    }
  }

  private void serving() throws Exception {
    launch();
    logged("serves at");
  }

  /**
   * Clients that rest and never end, that wait, also for longer than this process is there, that
   * wrote ahead, that have written half of a statement.
   */
  @Test
  void inEachState() throws Exception {
    serving();
    replica.answer =
        statement -> {
          try {
            Thread.sleep(
                statement.contains("slow") ? 1500 : statement.contains("hung") ? PATIENCE : 0);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return Bytes.join(Bytes.row("v"), Bytes.parameter("part", "replica"), Bytes.ready());
        };
    primary.answer = replica.answer;
    List<Client> rests = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      rests.add(new Client(port));
    }
    try (Client waits = new Client(port);
        Client ahead = new Client(port);
        Client half = new Client(port);
        Client silent = new Client(port);
        Client hung = new Client(port)) {
      hung.ask(id(READ, "hung").replace("d=900", "d=12000"));
      assertTrue(statement(replica).contains("hung"));
      waits.ask(id(READ, "slow").replace("d=900", "d=5000"));
      for (int i = 0; i < 4; i++) {
        ahead.ask(id(READ, "slow-ahead" + i).replace("d=900", "d=5000"));
      }
      byte[] statement = Bytes.query(id(READ, "half"));
      half.socket.getOutputStream().write(statement, 0, 30);
      silent.socket.getOutputStream().write(statement, 0, 30);
      Thread.sleep(100);
      long told = terminate();
      Thread.sleep(2000);
      half.socket.getOutputStream().write(Arrays.copyOfRange(statement, 30, statement.length));
      whole(waits.read());
      whole(half.read());
      for (int i = 0; i < 4; i++) {
        whole(ahead.read()); // one at a time: for the last of them there is no time left
      }
      assertEquals("E(53300) Z", hung.read(), "it may be asked again, of another router");
      for (Client each : rests) {
        assertTrue(each.ended());
      }
      endedInTime(told);
    } finally {
      for (Client each : rests) {
        each.close();
      }
    }
    assertTrue(logged("counters").contains("exceptions_caught=0"));
  }

  /** Served, or turned back where hosts hang and no time is left. */
  private static void whole(String answer) {
    assertTrue(answer.equals("T D C Z") || answer.equals("E(53300) Z"), answer);
  }

  /** Requests on all connections up to the last moment: what has no answer was never sent on. */
  @Test
  void requestsUpToTheEnd() throws Exception {
    serving();
    Set<String> open = ConcurrentHashMap.newKeySet();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      String name = "c" + i + "-";
      threads.add(
          new Thread(
              () -> {
                try (Client client = new Client(port)) {
                  for (int next = 0; ; next++) {
                    String id = name + next + ",";
                    open.add(id);
                    client.ask(Bytes.read(name + next, ",d=900"));
                    client.read();
                    open.remove(id);
                  }
                } catch (IOException ended) {
                  return;
                }
              }));
    }
    threads.forEach(Thread::start);
    Thread.sleep(300);
    long told = terminate();
    for (Thread each : threads) {
      each.join(PATIENCE);
    }
    endedInTime(told);
    List<String> seen = new ArrayList<>(replica.seen);
    seen.addAll(primary.seen);
    assertTrue(seen.size() > 300, "they were asked " + seen.size() + " times");
    for (String id : open) {
      assertEquals(List.of(), seen.stream().filter(each -> each.contains("id=" + id)).toList());
    }
  }

  /**
   * Told while it stands still it was told at some moment of that: its end is counted from the
   * first.
   */
  @Test
  void whileItStandsStill() throws Exception {
    serving();
    try (Client client = new Client(port)) {
      assertEquals("T D C Z", client.answer(id(READ, "r1")));
      Thread.sleep(100);
      signal("STOP");
      long told = terminate();
      Thread.sleep(1000);
      signal("CONT");
      client.ask(id(READ, "r2").replace("d=900", "d=5000"));
      byte[] rest = client.socket.getInputStream().readAllBytes();
      String answered = Bytes.types(rest);
      assertTrue(
          answered.equals("T D C Z")
              || answered.isEmpty() && !replica.seen.toString().contains("id=r2,"),
          "whole, or never sent on: " + answered);
      endedInTime(told);
    }
  }

  /**
   * While it starts, twice, the file half written first: it follows the agent that the last file
   * names.
   */
  @Test
  void hangUpWhileItStarts() throws Exception {
    Registry other = new Registry();
    try {
      other.list = list(true, entry("a", primary, "Ready"), entry("b", replica, "Ready"));
      launch();
      // Its own folder for the rehearsal is there: the program runs, and is nowhere near its end of
      // the start.
      while (Arrays.stream(folder.toFile().list())
          .noneMatch(each -> each.startsWith("rehearsal"))) {
        Thread.sleep(1);
      }
      Files.writeString(folder.resolve("config.json"), "{\"name\":");
      hangUp();
      Thread.sleep(100);
      configure(other);
      hangUp();
      logged("discovery is at");
      watched(other, version);
      while (process.isAlive()) {
        try (Client client = new Client(port)) {
          assertEquals("T D C Z", client.answer(id(READ, "r1")));
          return;
        } catch (IOException notYet) {
          Thread.sleep(20);
        }
      }
      throw new AssertionError("it ended");
    } finally {
      other.close();
    }
  }
}
