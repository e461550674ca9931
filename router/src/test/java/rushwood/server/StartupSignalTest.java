package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rushwood.protocol.TestMessages.concat;
import static rushwood.protocol.TestMessages.messageTypes;
import static rushwood.protocol.TestMessages.query;
import static rushwood.protocol.TestMessages.startup;
import static rushwood.server.RouterProcessFixture.endpointJson;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.STARTED;
import static rushwood.server.Statements.read;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** SIGTERM and SIGHUP while a router starts. */
class StartupSignalTest {
  /** The longest time from SIGTERM to the exit of a process that does not serve. */
  private static final long MAX_EARLY_EXIT_MILLIS = 2500;

  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.unstarted();

  /** SIGTERM as soon as the router accepts connections, with a request in transit. */
  @Test
  void terminatedAsItBeginsToListen() throws Exception {
    for (int i = 0; i < 3; i++) {
      router.launch();
      Socket socket = connectOnceListening();
      socket.getOutputStream().write(concat(startup(), query(read("r" + i))));
      long signalledAt = router.terminate();
      socket.setSoTimeout(Await.TIMEOUT_MILLIS);
      assertEquals(
          STARTED + " " + SERVED,
          messageTypes(socket.getInputStream().readAllBytes()),
          router::output);
      socket.close();
      router.assertExitsInTime(signalledAt);
    }
  }

  private Socket connectOnceListening() {
    long deadline = Await.deadline();
    while (System.nanoTime() < deadline) {
      try {
        return new Socket("127.0.0.1", router.port());
      } catch (IOException notYet) {
        Thread.onSpinWait();
      }
    }
    throw new AssertionError("the router does not listen: " + router.output());
  }

  /** SIGTERM before the router listens: it exits at once without listening. */
  @Test
  void terminatedBeforeItListens() throws Exception {
    router.discovery().unansweredCalls.set(1000);
    for (long delayMillis : new long[] {0, 300, 600, 900, 1200}) {
      router.launch();
      Thread.sleep(delayMillis); // the time of the signal is varied
      long signalledAt = router.terminate();
      router.awaitExit();
      long elapsedMillis = (System.nanoTime() - signalledAt) / 1_000_000;
      assertTrue(
          elapsedMillis < MAX_EARLY_EXIT_MILLIS || !router.outputContaining("serves at").isEmpty(),
          () ->
              "SIGTERM "
                  + delayMillis
                  + " ms after the launch, exited after "
                  + elapsedMillis
                  + " ms: "
                  + router.output());
    }
  }

  /** Two SIGHUPs during the start, the first with a truncated file: the second file is used. */
  @Test
  void hangUpDuringStart() throws Exception {
    StandInDiscovery otherDiscovery = new StandInDiscovery();
    try {
      otherDiscovery.endpointList =
          router.endpointListJson(
              true,
              endpointJson("a", router.primary(), "Ready"),
              endpointJson("b", router.replica(), "Ready"));
      router.launch();
      awaitWarmup();
      Files.writeString(router.configFile(), "{\"name\":");
      router.sendSignal("HUP");
      Thread.sleep(100); // keeps the two signals from being merged into one
      router.writeConfig(otherDiscovery);
      router.sendSignal("HUP");
      router.awaitLogLine("discovery is now at");
      otherDiscovery.awaitWatchRequest(router.listVersion());
      Await.until(this::isServing, () -> "the router serves no request: " + router.output());
    } finally {
      otherDiscovery.close();
    }
  }

  private boolean isServing() {
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("r1")));
      return true;
    } catch (IOException notYet) {
      assertTrue(router.isAlive(), router::output);
      return false;
    }
  }

  /** Waits for the directory of the warm-up, which exists long before the router is ready. */
  private void awaitWarmup() throws Exception {
    Await.until(
        () ->
            Arrays.stream(router.folder().toFile().list())
                .anyMatch(file -> file.startsWith("warmup")),
        () -> "no warm-up: " + router.output());
  }
}
