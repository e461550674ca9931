package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import rushwood.config.RouterConfigFixture;
import rushwood.protocol.TestMessages;

/**
 * A router in a process of its own, with a primary, a replica and discovery as stand-ins on
 * loopback.
 */
abstract class RouterProcessFixture {
  /** Until a test that hangs fails. */
  static final int TIMEOUT_MILLIS = 20_000;

  /** Between two looks at what a test waits for. */
  private static final int POLL_INTERVAL_MILLIS = 5;

  /** How long the client of a statement waits where the test does not say. */
  static final int REQUEST_TIMEOUT_MILLIS = 900;

  /** The version of the list that discovery has at the start. */
  static final int FIRST_LIST_VERSION = 41;

  // Responses, as the types of their messages.
  static final String STARTED = "R S S S S S K Z";
  static final String SERVED = "T D C Z";
  static final String EMPTY = "I Z";
  static final String REJECTED = "E(53300) Z";
  static final String FAILED = "E(58000) Z";

  @TempDir Path folder;
  StandInBackend primary;
  StandInBackend replica;
  StandInDiscovery discovery;
  Process process;
  final BlockingQueue<String> processOutput = new LinkedBlockingQueue<>();
  int port;
  int listVersion = FIRST_LIST_VERSION - 1;

  @BeforeEach
  void startRouter() throws Exception {
    startStandIns();
    launchProcess();
    String line = awaitLogLine("serves at");
    port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
  }

  @AfterEach
  void stopRouter() throws Exception {
    process.toHandle().destroyForcibly(); // unlike Process.destroyForcibly, leaves its output open
    assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    assertEquals(List.of(), processOutput.stream().filter(line -> line.contains("LEAK")).toList());
    discovery.close();
    primary.close();
    replica.close();
  }

  /** The settings that the router is started with. */
  String settingsJson() {
    return RouterConfigFixture.VALID_SETTINGS;
  }

  /** The port that the router listens on; 0 for any. */
  int listenPort() {
    return 0;
  }

  void startStandIns() throws Exception {
    primary = new StandInBackend("master");
    replica = new StandInBackend("replica");
    discovery = new StandInDiscovery();
    discovery.endpointList =
        endpointListJson(
            true, endpointJson("a", primary, "Ready"), endpointJson("b", replica, "Ready"));
    writeConfig(discovery);
  }

  /** Starts the process and returns before it listens. */
  void launchProcess() throws Exception {
    ProcessBuilder builder =
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-ea",
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-XX:MaxDirectMemorySize=40m",
                "-Dio.netty.leakDetection.level=paranoid",
                "-Djava.io.tmpdir=" + folder,
                "-cp",
                System.getProperty("java.class.path"),
                "rushwood.Main",
                "serve")
            .redirectErrorStream(true);
    builder.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
    builder.environment().put("NODE_DISCOVERY", discovery.address());
    process = builder.start();
    StandInServer.startThread(() -> process.inputReader().lines().forEach(processOutput::add));
  }

  Path writeConfig(StandInDiscovery configuredDiscovery) throws IOException {
    return Files.writeString(
        folder.resolve("config.json"),
        "{\"name\":\"n0\",\"seed\":\"7\","
            + "\"listen\":\"127.0.0.1:"
            + listenPort()
            + "\",\"discovery\":\""
            + configuredDiscovery.address()
            + "\",\"limits\":{\"sockets\":256},\"known\":"
            + configuredDiscovery.endpointList
            + ",\"settings\":"
            + settingsJson()
            + "}");
  }

  void sendHangUp() throws Exception {
    sendSignal("HUP");
  }

  void sendSignal(String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  /** Sends SIGTERM at once and returns the time; the process's output stays open. */
  long terminate() {
    process.toHandle().destroy();
    return System.nanoTime();
  }

  /** Returns a list with the next version. */
  String endpointListJson(boolean complete, String... entries) {
    listVersion++;
    return "{\"version\":"
        + listVersion
        + ",\"full\":"
        + complete
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}";
  }

  static String endpointJson(String id, StandInBackend backend, String state) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\""
        + backend.address()
        + "\",\"cell\":2,\"state\":\""
        + state
        + "\",\"weight\":1.0,\"part\":\""
        + backend.role
        + "\"}";
  }

  /** Makes discovery answer with these endpoints and send them to a watch. */
  void publishEndpoints(String... entries) {
    String change = endpointListJson(false, entries);
    discovery.endpointList = change.replace("\"full\":false", "\"full\":true");
    discovery.watchEvents.add(change);
  }

  /** Waits for a watch on what changes after the version; calls for the list may precede it. */
  static void awaitWatchRequest(StandInDiscovery watchedDiscovery, int version)
      throws InterruptedException {
    String next =
        takeFirst(watchedDiscovery.requestedPaths, path -> !path.equals("/registry/instances"));
    assertEquals("/registry/instances?follow=1&since=" + version, next);
  }

  String awaitLogLine(String text) throws InterruptedException {
    return takeFirst(processOutput, line -> line.contains(text));
  }

  /**
   * Removes elements from the queue up to the first that matches and returns it; fails if it has
   * not come within {@link #TIMEOUT_MILLIS}, however many others have.
   */
  private static String takeFirst(BlockingQueue<String> queue, Predicate<String> condition)
      throws InterruptedException {
    long deadline = deadline();
    String next;
    do {
      next = queue.poll(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
      assertNotNull(next, "nothing that matches came");
    } while (!condition.test(next));
    return next;
  }

  /** Reads the counters until they meet the condition; fails if they do not in time. */
  static CounterSnapshot awaitCounters(TestClient client, Predicate<CounterSnapshot> condition)
      throws IOException, InterruptedException {
    long deadline = deadline();
    CounterSnapshot counters = client.readCounters();
    while (!condition.test(counters)) {
      assertTrue(System.nanoTime() < deadline, "the counters are still " + counters);
      Thread.sleep(POLL_INTERVAL_MILLIS);
      counters = client.readCounters();
    }
    return counters;
  }

  /** When a wait that begins now has failed. */
  static long deadline() {
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
  }

  /**
   * Takes the next statement of a client that the backend has received; health checks are skipped.
   */
  static String nextStatement(StandInBackend backend) throws InterruptedException {
    return takeFirst(backend.receivedStatements, statement -> !statement.startsWith("SHOW"));
  }

  /** Returns what both backends have received with an id that begins with {@code idPrefix}. */
  List<String> receivedWithId(String idPrefix) {
    return receivedStatements().stream().filter(each -> each.contains("id=" + idPrefix)).toList();
  }

  List<String> receivedStatements() {
    List<String> received = new ArrayList<>(replica.receivedStatements);
    received.addAll(primary.receivedStatements);
    return received;
  }

  static String read(String id) {
    return read(id, REQUEST_TIMEOUT_MILLIS);
  }

  static String read(String id, int timeoutMillis) {
    return TestMessages.readStatement(id, ",d=" + timeoutMillis);
  }

  static String write(String id) {
    return write(id, REQUEST_TIMEOUT_MILLIS);
  }

  static String write(String id, int timeoutMillis) {
    return TestMessages.writeStatement(id, ",d=" + timeoutMillis);
  }

  /** Returns a write of a value of that many bytes. */
  static String largeWrite(String id, int valueBytes) {
    return write(id).replace("9f03", "9f".repeat(valueBytes));
  }

  static void assertServedOrRejected(String response) {
    assertTrue(response.equals(SERVED) || response.equals(REJECTED), response);
  }
}
