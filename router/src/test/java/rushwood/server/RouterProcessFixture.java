package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import rushwood.config.RouterConfigFixture;

/**
 * A router in a separate process, with stand-ins for a primary, a replica and discovery on
 * loopback. A test class registers it with {@code @RegisterExtension}; it is started before and
 * stopped after each test.
 */
final class RouterProcessFixture implements BeforeEachCallback, AfterEachCallback {
  /** The version of the first endpoint list that discovery serves. */
  static final int FIRST_LIST_VERSION = 41;

  /**
   * Time from SIGTERM to SIGKILL: 0.7 s plus the longest request timeout of the settings, 5 s,
   * which counts as 3 s.
   */
  private static final long MAX_EXIT_MILLIS = 3700;

  private static final int ANY_PORT = 0;
  private static final int DEFAULT_SOCKETS = 256;

  private final boolean startsBeforeTest;
  private final UnaryOperator<String> settingsChange;
  private final int maxSockets;
  private final BlockingQueue<String> output = new LinkedBlockingQueue<>();
  private Path folder;
  private Path temporaryDirectory;
  private StandInBackend primary;
  private StandInBackend replica;
  private StandInDiscovery discovery;
  private Process process;
  private int configuredPort;
  private int port;
  private int listVersion = FIRST_LIST_VERSION - 1;

  private RouterProcessFixture(
      boolean startsBeforeTest, UnaryOperator<String> settingsChange, int maxSockets) {
    this.startsBeforeTest = startsBeforeTest;
    this.settingsChange = settingsChange;
    this.maxSockets = maxSockets;
  }

  /** Returns a fixture whose router serves when a test starts. */
  static RouterProcessFixture started() {
    return startedWith(settings -> settings);
  }

  /** Like {@link #started}, with changed settings. */
  static RouterProcessFixture startedWith(UnaryOperator<String> settingsChange) {
    return new RouterProcessFixture(true, settingsChange, DEFAULT_SOCKETS);
  }

  /** Like {@link #started}, with another limit on sockets. */
  static RouterProcessFixture startedWithSockets(int maxSockets) {
    return new RouterProcessFixture(true, settings -> settings, maxSockets);
  }

  /** Returns a fixture whose tests launch the router; the stand-ins run, and the port is known. */
  static RouterProcessFixture unstarted() {
    return unstartedWith(settings -> settings);
  }

  /** Like {@link #unstarted}, with changed settings. */
  static RouterProcessFixture unstartedWith(UnaryOperator<String> settingsChange) {
    return new RouterProcessFixture(false, settingsChange, DEFAULT_SOCKETS);
  }

  @Override
  public void beforeEach(ExtensionContext context) throws Exception {
    folder = Files.createTempDirectory("router");
    temporaryDirectory = folder;
    configuredPort = startsBeforeTest ? ANY_PORT : freePort();
    port = configuredPort;
    startStandIns();
    if (startsBeforeTest) {
      launch();
      String line = awaitLogLine("serves at");
      port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }
  }

  @Override
  public void afterEach(ExtensionContext context) throws Exception {
    process.toHandle().destroyForcibly(); // Process.destroyForcibly would close the output
    awaitExit();
    assertEquals(List.of(), outputContaining("LEAK"));
    discovery.close();
    primary.close();
    replica.close();
    deleteFolder();
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(ANY_PORT)) {
      return free.getLocalPort();
    }
  }

  private void startStandIns() throws IOException {
    primary = new StandInBackend("master");
    replica = new StandInBackend("replica");
    discovery = new StandInDiscovery();
    discovery.endpointList =
        endpointListJson(
            true, endpointJson("a", primary, "Ready"), endpointJson("b", replica, "Ready"));
    writeConfig(discovery);
  }

  private void deleteFolder() throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  StandInBackend primary() {
    return primary;
  }

  StandInBackend replica() {
    return replica;
  }

  StandInDiscovery discovery() {
    return discovery;
  }

  /** Returns the port on which the router listens for clients. */
  int port() {
    return port;
  }

  /** Returns the directory of the configuration file and the router's temporary files. */
  Path folder() {
    return folder;
  }

  Path configFile() {
    return folder.resolve("config.json");
  }

  TestClient connect() throws IOException {
    return new TestClient(port);
  }

  /** Sets where the next process makes its temporary files; else in {@link #folder}. */
  void setTemporaryDirectory(Path directory) {
    temporaryDirectory = directory;
  }

  /** Starts the process and returns before it listens. */
  void launch() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-ea",
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-XX:MaxDirectMemorySize=40m",
                "-Dio.netty.leakDetection.level=paranoid",
                "-Djava.io.tmpdir=" + temporaryDirectory,
                "-cp",
                System.getProperty("java.class.path"),
                "rushwood.Main",
                "serve")
            .redirectErrorStream(true);
    builder.environment().remove("TMPDIR");
    builder.environment().put("NODE_CONFIG", configFile().toString());
    builder.environment().put("NODE_DISCOVERY", discovery.address());
    Process started = builder.start();
    StandInServer.startThread(() -> started.inputReader().lines().forEach(output::add));
    process = started;
  }

  void launchAndAwaitReady() throws IOException, InterruptedException {
    launch();
    awaitLogLine("serves at");
  }

  boolean isAlive() {
    return process.isAlive();
  }

  void sendSignal(String name) throws IOException, InterruptedException {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  /** Sends SIGTERM and returns the time of {@link System#nanoTime}; the output stays open. */
  long terminate() {
    process.toHandle().destroy();
    return System.nanoTime();
  }

  /** Waits for the router process to exit. */
  void awaitExit() throws InterruptedException {
    assertTrue(
        process.waitFor(Await.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
        () -> "the router has not exited: " + output());
  }

  /** Waits for the exit and asserts that it came before the time of SIGKILL. */
  void assertExitsInTime(long signalledAt) throws InterruptedException {
    awaitExit();
    long elapsedMillis = (System.nanoTime() - signalledAt) / 1_000_000;
    assertTrue(
        elapsedMillis < MAX_EXIT_MILLIS,
        () -> "the router exited after " + elapsedMillis + " ms: " + output());
  }

  /** Returns the output of the router since the last line that a test waited for. */
  String output() {
    return String.join("\n", output);
  }

  /** Returns the lines of {@link #output} that contain the text. */
  List<String> outputContaining(String text) {
    return output.stream().filter(line -> line.contains(text)).toList();
  }

  String awaitLogLine(String text) throws InterruptedException {
    return Await.firstMatch(output, line -> line.contains(text));
  }

  /** Writes a configuration with the address and the endpoint list of the given discovery. */
  void writeConfig(StandInDiscovery configuredDiscovery) throws IOException {
    Files.writeString(
        configFile(),
        "{\"name\":\"n0\",\"seed\":\"7\","
            + "\"listen\":\"127.0.0.1:"
            + configuredPort
            + "\",\"discovery\":\""
            + configuredDiscovery.address()
            + "\",\"limits\":{\"sockets\":"
            + maxSockets
            + "},\"known\":"
            + configuredDiscovery.endpointList
            + ",\"settings\":"
            + settingsChange.apply(RouterConfigFixture.VALID_SETTINGS)
            + "}");
  }

  /** Returns an endpoint list with the next version. */
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

  /** Returns the version of the endpoint list that was created last. */
  int listVersion() {
    return listVersion;
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

  /** Publishes both backends in the given state, in the complete list and to the watch. */
  void publishBackends(String state) {
    String update =
        endpointListJson(
            false, endpointJson("a", primary, state), endpointJson("b", replica, state));
    discovery.endpointList = update.replace("\"full\":false", "\"full\":true");
    discovery.watchEvents.add(update);
  }

  /** Reads the counters until they meet the condition; fails after the default timeout. */
  static CounterSnapshot awaitCounters(TestClient client, Predicate<CounterSnapshot> condition)
      throws Exception {
    CounterSnapshot[] latest = new CounterSnapshot[1];
    Await.until(
        () -> {
          latest[0] = client.readCounters();
          return condition.test(latest[0]);
        },
        () -> "the counters are still " + latest[0]);
    return latest[0];
  }

  /** Returns the statements that the backends received whose id starts with {@code idPrefix}. */
  List<String> receivedWithIdPrefix(String idPrefix) {
    return receivedStatements().stream()
        .filter(statement -> statement.contains("id=" + idPrefix))
        .toList();
  }

  List<String> receivedStatements() {
    List<String> received = new ArrayList<>(replica.receivedStatements);
    received.addAll(primary.receivedStatements);
    return received;
  }
}
