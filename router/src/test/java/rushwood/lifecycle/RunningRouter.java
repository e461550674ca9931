package rushwood.lifecycle;

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
import rushwood.wire.Bytes;

/**
 * A router in a process of its own, with stand-in hosts, discovery and clients of ours on loopback.
 */
abstract class RunningRouter {
  static final int PATIENCE = 20_000; // ms until a test that hangs fails
  static final String READ = Bytes.read("ID", ",d=900");

  /** Accepts connections and serves each on a thread. */
  abstract static class Standin implements Closeable {
    final ServerSocket socket;
    private final List<Socket> open = new ArrayList<>();

    Standin() throws IOException {
      socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      thread(
          () -> {
            while (true) {
              Socket next = socket.accept();
              synchronized (open) {
                open.add(next);
              }
              thread(() -> serve(next));
            }
          });
    }

    interface Job {
      void run() throws IOException, InterruptedException;
    }

    static void thread(Job job) {
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
    void cut() throws IOException {
      synchronized (open) {
        for (Socket each : open) {
          each.close();
        }
        open.clear();
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      cut();
    }
  }

  /**
   * A host; what it answers can be changed, and an answer that does not end with ready is cut off.
   */
  static final class Host extends Standin {
    final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    final String role;
    volatile Function<String, byte[]> answer;
    volatile boolean resets;
    volatile boolean stays; // also behind an answer that does not end
    volatile CountDownLatch welcomes =
        new CountDownLatch(0); // new connections come up once it is at zero

    Host(String role) throws IOException {
      this.role = role;
      answer =
          statement -> Bytes.join(Bytes.row(role), Bytes.parameter("part", role), Bytes.ready());
    }

    @Override
    void serve(Socket client) throws IOException, InterruptedException {
      if (resets) {
        client.setSoLinger(true, 0);
        client.close();
        return;
      }
      DataInputStream in = new DataInputStream(client.getInputStream());
      in.readNBytes(in.readInt() - 4);
      welcomes.await();
      client.getOutputStream().write(Bytes.welcome());
      while (true) {
        in.readByte();
        byte[] text = in.readNBytes(in.readInt() - 4);
        String statement = new String(text, 0, text.length - 1, StandardCharsets.UTF_8);
        seen.add(statement);
        byte[] answered = answer.apply(statement);
        client.getOutputStream().write(answered);
        if (!stays && (answered.length < 6 || answered[answered.length - 6] != 'Z')) {
          client.close();
          return;
        }
      }
    }
  }

  /** Discovery: the whole list, then a watch that tells what the test puts in. */
  static final class Registry extends Standin {
    volatile int stalls; // calls that are taken and never answered, from now on
    final BlockingQueue<String> changes = new LinkedBlockingQueue<>();
    final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
    volatile String list;

    Registry() throws IOException {}

    @Override
    void serve(Socket client) throws IOException, InterruptedException {
      BufferedReader in = new BufferedReader(new InputStreamReader(client.getInputStream()));
      String line = in.readLine();
      if (line == null) {
        return; // given up before it was asked
      }
      String path = line.split(" ")[1];
      asked.add(path);
      if (stalls > 0) {
        stalls--;
        return;
      }
      OutputStream out = client.getOutputStream();
      if (!path.contains("follow")) {
        out.write(
            ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list).getBytes());
        return;
      }
      out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
      while (true) {
        String change = changes.take() + "\n";
        out.write((Integer.toHexString(change.length()) + "\r\n" + change + "\r\n").getBytes());
      }
    }
  }

  /** A client connection that has said hello. */
  static final class Client implements Closeable {
    final Socket socket;
    byte[] key; // by which what runs here can be cancelled

    Client(int port) throws IOException {
      socket = new Socket("127.0.0.1", port);
      socket.setSoTimeout(PATIENCE);
      socket.getOutputStream().write(Bytes.startup());
      assertEquals("R S S S S S K Z", read());
    }

    void ask(String statement) throws IOException {
      socket.getOutputStream().write(Bytes.query(statement));
    }

    String answer(String statement) throws IOException {
      ask(statement);
      return read();
    }

    /** Messages up to ready. */
    String read() throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte type;
      do {
        type = in.readByte();
        byte[] body = in.readNBytes(in.readInt() - 4);
        all.writeBytes(Bytes.message((char) type, body));
        key = type == 'K' ? body : key;
      } while (type != 'Z');
      return Bytes.types(all.toByteArray());
    }

    boolean ended() throws IOException {
      return socket.getInputStream().read() < 0;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @TempDir Path folder;
  Host primary;
  Host replica;
  Registry registry;
  Process process;
  final BlockingQueue<String> log = new LinkedBlockingQueue<>();
  int port;
  int version = 40;

  @BeforeEach
  void start() throws Exception {
    prepare();
    launch();
    String line = logged("serves at");
    port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
  }

  void prepare() throws Exception {
    primary = new Host("master");
    replica = new Host("replica");
    registry = new Registry();
    registry.list = list(true, entry("a", primary, "Ready"), entry("b", replica, "Ready"));
    configure(registry);
  }

  /** Starts the process; it does not serve yet. */
  void launch() throws Exception {
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
    builder.environment().put("NODE_DISCOVERY", "127.0.0.1:" + registry.socket.getLocalPort());
    process = builder.start();
    Standin.thread(() -> process.inputReader().lines().forEach(log::add));
  }

  /** Of the configuration. */
  String settings() {
    return ConfigTest.SETTINGS;
  }

  /** Where it listens; 0 for anywhere. */
  int wanted() {
    return 0;
  }

  Path configure(Registry at) throws IOException {
    return Files.writeString(
        folder.resolve("config.json"),
        "{\"name\":\"n0\",\"seed\":\"7\","
            + "\"listen\":\"127.0.0.1:"
            + wanted()
            + "\",\"discovery\":\"127.0.0.1:"
            + at.socket.getLocalPort()
            + "\",\"limits\":{\"sockets\":256},\"known\":"
            + at.list
            + ",\"settings\":"
            + settings()
            + "}");
  }

  void hangUp() throws Exception {
    signal("HUP");
  }

  void signal(String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  @AfterEach
  void stop() throws Exception {
    process.toHandle().destroyForcibly(); // leaves its output open
    assertTrue(process.waitFor(PATIENCE, TimeUnit.MILLISECONDS));
    assertEquals(List.of(), log.stream().filter(line -> line.contains("LEAK")).toList());
    registry.close();
    primary.close();
    replica.close();
  }

  String list(boolean whole, String... entries) {
    return "{\"version\":"
        + ++version
        + ",\"full\":"
        + whole
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}";
  }

  /** Discovery has it from now on: a watch brings it, and so does the whole list. */
  void announce(String... entries) {
    String change = list(false, entries);
    registry.list = change.replace("\"full\":false", "\"full\":true");
    registry.changes.add(change);
  }

  static String entry(String id, Host host, String state) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + host.socket.getLocalPort()
        + "\",\"cell\":2,"
        + "\"state\":\""
        + state
        + "\",\"weight\":1.0,\"part\":\""
        + host.role
        + "\"}";
  }

  /**
   * The whole list was asked for, as often as it took, and then a watch on what changes after that
   * version.
   */
  static void watched(Registry at, int version) throws InterruptedException {
    String next = take(at.asked);
    while (next.equals("/registry/instances")) {
      next = take(at.asked);
    }
    assertEquals("/registry/instances?follow=1&since=" + version, next);
  }

  String logged(String part) throws InterruptedException {
    for (String line = take(log); ; line = take(log)) {
      if (line.contains(part)) {
        return line;
      }
    }
  }

  static String take(BlockingQueue<String> from) throws InterruptedException {
    String next = from.poll(PATIENCE, TimeUnit.MILLISECONDS);
    assertTrue(next != null, "nothing came");
    return next;
  }

  /** The next statement of a client that a host saw. */
  static String statement(Host host) throws InterruptedException {
    String next = take(host.seen);
    return next.startsWith("SHOW") ? statement(host) : next;
  }

  static String id(String statement, String id) {
    return statement.replace("ID", id);
  }

  static String counters(Client client) throws IOException {
    client.ask("SHOW counters");
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
