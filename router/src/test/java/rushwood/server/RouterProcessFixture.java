package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import rushwood.protocol.TestMessages;

/**
 * A router in a process of its own, with stand-in hosts, discovery and clients of ours on loopback.
 */
abstract class RouterProcessFixture {
  static final int TIMEOUT_MILLIS = 20_000; // ms until a test that hangs fails
  static final String READ_STATEMENT = TestMessages.readStatement("ID", ",d=900");

  /** Accepts connections and serves each on a thread. */
  abstract static class StandInServer implements Closeable {
    final ServerSocket socket;
    private final List<Socket> openSockets = new ArrayList<>();

    StandInServer() throws IOException {
      socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      startThread(
          () -> {
            while (true) {
              Socket next = socket.accept();
              synchronized (openSockets) {
                openSockets.add(next);
              }
              startThread(() -> serve(next));
            }
          });
    }

    interface ThrowingTask {
      void run() throws IOException, InterruptedException;
    }

    static void startThread(ThrowingTask job) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  job.run();
                } catch (IOException | InterruptedException e) {
                  return; // the connection or the test is over
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    abstract void serve(Socket client) throws IOException, InterruptedException;

    /** Ends all connections that are open. */
    void closeConnections() throws IOException {
      synchronized (openSockets) {
        for (Socket each : openSockets) {
          each.close();
        }
        openSockets.clear();
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      closeConnections();
    }
  }

  /**
   * A host; what it answers can be changed, and an answer that does not end with ready is cut off.
   */
  static final class StandInBackend extends StandInServer {
    final BlockingQueue<String> receivedStatements = new LinkedBlockingQueue<>();
    final String role;
    volatile Function<String, byte[]> responder;
    volatile boolean resetsConnections;
    volatile boolean keepsConnectionOpen; // also behind an answer that does not end
    volatile CountDownLatch startupGate =
        new CountDownLatch(0); // new connections come up once it is at zero

    StandInBackend(String role) throws IOException {
      this.role = role;
      responder =
          statement ->
              TestMessages.concat(
                  TestMessages.rowResponse(role),
                  TestMessages.parameterStatus("part", role),
                  TestMessages.readyForQuery());
    }

    @Override
    void serve(Socket client) throws IOException, InterruptedException {
      if (resetsConnections) {
        client.setSoLinger(true, 0);
        client.close();
        return;
      }
      DataInputStream in = new DataInputStream(client.getInputStream());
      in.readNBytes(in.readInt() - 4);
      startupGate.await();
      client.getOutputStream().write(TestMessages.startupResponse());
      while (true) {
        in.readByte();
        byte[] text = in.readNBytes(in.readInt() - 4);
        String statement = new String(text, 0, text.length - 1, StandardCharsets.UTF_8);
        receivedStatements.add(statement);
        byte[] response = responder.apply(statement);
        client.getOutputStream().write(response);
        if (!keepsConnectionOpen && (response.length < 6 || response[response.length - 6] != 'Z')) {
          client.close();
          return;
        }
      }
    }
  }

  /** Discovery: the whole list, then a watch that tells what the test puts in. */
  static final class StandInDiscovery extends StandInServer {
    volatile int unansweredCalls; // calls that are taken and never answered, from now on
    final BlockingQueue<String> watchEvents = new LinkedBlockingQueue<>();
    final BlockingQueue<String> requestedPaths = new LinkedBlockingQueue<>();
    volatile String endpointList;

    StandInDiscovery() throws IOException {}

    @Override
    void serve(Socket client) throws IOException, InterruptedException {
      BufferedReader in = new BufferedReader(new InputStreamReader(client.getInputStream()));
      String line = in.readLine();
      if (line == null) {
        return; // given up before it was asked
      }
      String path = line.split(" ")[1];
      requestedPaths.add(path);
      if (unansweredCalls > 0) {
        unansweredCalls--;
        return;
      }
      OutputStream out = client.getOutputStream();
      if (!path.contains("follow")) {
        out.write(
            ("HTTP/1.1 200 OK\r\nContent-Length: "
                    + endpointList.length()
                    + "\r\n\r\n"
                    + endpointList)
                .getBytes());
        return;
      }
      out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
      while (true) {
        String change = watchEvents.take() + "\n";
        out.write((Integer.toHexString(change.length()) + "\r\n" + change + "\r\n").getBytes());
      }
    }
  }

  /** A client connection that has said hello. */
  static final class TestClient implements Closeable {
    final Socket socket;
    byte[] cancelKey; // by which what runs here can be cancelled

    TestClient(int port) throws IOException {
      socket = new Socket("127.0.0.1", port);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write(TestMessages.startup());
      assertEquals("R S S S S S K Z", readResponse());
    }

    void send(String statement) throws IOException {
      socket.getOutputStream().write(TestMessages.query(statement));
    }

    String query(String statement) throws IOException {
      send(statement);
      return readResponse();
    }

    /** Messages up to ready. */
    String readResponse() throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte type;
      do {
        type = in.readByte();
        byte[] body = in.readNBytes(in.readInt() - 4);
        all.writeBytes(TestMessages.message((char) type, body));
        cancelKey = type == 'K' ? body : cancelKey;
      } while (type != 'Z');
      return TestMessages.messageTypes(all.toByteArray());
    }

    boolean isEnded() throws IOException {
      return socket.getInputStream().read() < 0;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @TempDir Path folder;
  StandInBackend primary;
  StandInBackend replica;
  StandInDiscovery discovery;
  Process process;
  final BlockingQueue<String> processOutput = new LinkedBlockingQueue<>();
  int port;
  int listVersion = 40;

  @BeforeEach
  void startRouter() throws Exception {
    startStandIns();
    launchProcess();
    String line = awaitLogLine("serves at");
    port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
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

  /** Starts the process; it does not serve yet. */
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
    builder.environment().put("NODE_DISCOVERY", "127.0.0.1:" + discovery.socket.getLocalPort());
    process = builder.start();
    StandInServer.startThread(() -> process.inputReader().lines().forEach(processOutput::add));
  }

  /** Of the configuration. */
  String settingsJson() {
    return RouterConfigTest.VALID_SETTINGS;
  }

  /** Where it listens; 0 for anywhere. */
  int listenPort() {
    return 0;
  }

  Path writeConfig(StandInDiscovery discovery) throws IOException {
    return Files.writeString(
        folder.resolve("config.json"),
        "{\"name\":\"n0\",\"seed\":\"7\","
            + "\"listen\":\"127.0.0.1:"
            + listenPort()
            + "\",\"discovery\":\"127.0.0.1:"
            + discovery.socket.getLocalPort()
            + "\",\"limits\":{\"sockets\":256},\"known\":"
            + discovery.endpointList
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

  @AfterEach
  void stopRouter() throws Exception {
    process.toHandle().destroyForcibly(); // leaves its output open
    assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    assertEquals(List.of(), processOutput.stream().filter(line -> line.contains("LEAK")).toList());
    discovery.close();
    primary.close();
    replica.close();
  }

  String endpointListJson(boolean whole, String... entries) {
    return "{\"version\":"
        + ++listVersion
        + ",\"full\":"
        + whole
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}";
  }

  /** Discovery has it from now on: a watch brings it, and so does the whole list. */
  void publishEndpoints(String... entries) {
    String change = endpointListJson(false, entries);
    discovery.endpointList = change.replace("\"full\":false", "\"full\":true");
    discovery.watchEvents.add(change);
  }

  static String endpointJson(String id, StandInBackend backend, String state) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + backend.socket.getLocalPort()
        + "\",\"cell\":2,"
        + "\"state\":\""
        + state
        + "\",\"weight\":1.0,\"part\":\""
        + backend.role
        + "\"}";
  }

  /**
   * The whole list was asked for, as often as it took, and then a watch on what changes after that
   * version.
   */
  static void awaitWatchRequest(StandInDiscovery discovery, int version)
      throws InterruptedException {
    String next = takeNext(discovery.requestedPaths);
    while (next.equals("/registry/instances")) {
      next = takeNext(discovery.requestedPaths);
    }
    assertEquals("/registry/instances?follow=1&since=" + version, next);
  }

  String awaitLogLine(String text) throws InterruptedException {
    for (String line = takeNext(processOutput); ; line = takeNext(processOutput)) {
      if (line.contains(text)) {
        return line;
      }
    }
  }

  static String takeNext(BlockingQueue<String> from) throws InterruptedException {
    String next = from.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertTrue(next != null, "nothing came");
    return next;
  }

  /** The next statement of a client that a host saw. */
  static String nextStatement(StandInBackend backend) throws InterruptedException {
    String next = takeNext(backend.receivedStatements);
    return next.startsWith("SHOW") ? nextStatement(backend) : next;
  }

  static String withId(String statement, String id) {
    return statement.replace("ID", id);
  }

  static String readCounters(TestClient client) throws IOException {
    client.send("SHOW counters");
    StringBuilder text = new StringBuilder();
    DataInputStream in = new DataInputStream(client.socket.getInputStream());
    byte type;
    do {
      type = in.readByte();
      byte[] body = in.readNBytes(in.readInt() - 4);
      if (type == 'D') {
        int name = body[5];
        text.append(new String(body, 6, name))
            .append('=')
            .append(new String(body, 10 + name, body.length - 10 - name))
            .append(' ');
      }
    } while (type != 'Z');
    return text.toString();
  }
}
