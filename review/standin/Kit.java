import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the review cases: clients, database hosts and the discovery agent, and the start of
 * a router by the command of deploy/balancer.toml. All sockets are on 127.0.0.1.
 */
final class Kit {
  private Kit() {}

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** Writes the lines of record.txt, each with the milliseconds since the start of the case. */
  static final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
      out.printf("%8.1f %s%n", (System.nanoTime() - start) / 1e6, text);
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, LOOPBACK)) {
      return probe.getLocalPort();
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  // ------------------------------------------------------------------ messages of protocol 3

  record Message(char type, byte[] body) {}

  static Message read(DataInputStream in) throws IOException {
    char type = (char) in.readUnsignedByte();
    byte[] body = new byte[in.readInt() - 4];
    in.readFully(body);
    return new Message(type, body);
  }

  static final class Out {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    Out message(char type, byte[] body) {
      bytes.write(type);
      bytes.writeBytes(ByteBuffer.allocate(4).putInt(body.length + 4).array());
      bytes.writeBytes(body);
      return this;
    }

    Out status(String name, String value) {
      return message('S', text(name + "\0" + value + "\0"));
    }

    Out ready() {
      return message('Z', new byte[] {'I'});
    }

    Out row(byte[] value, String tag) {
      ByteBuffer column = ByteBuffer.allocate(2 + 4 + 18);
      column.putShort((short) 1).put(text("val\0"));
      column.putInt(0).putShort((short) 0).putInt(17).putShort((short) -1).putInt(-1);
      column.putShort((short) 1);
      message('T', column.array());
      message(
          'D',
          ByteBuffer.allocate(6 + value.length)
              .putShort((short) 1)
              .putInt(value.length)
              .put(value)
              .array());
      return message('C', text(tag + "\0"));
    }

    Out error(String code) {
      return message('E', text("SERROR\0VERROR\0C" + code + "\0Mstand-in\0\0"));
    }

    byte[] bytes() {
      return bytes.toByteArray();
    }
  }

  static byte[] text(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static byte[] startup() {
    byte[] body = text("user\0client\0database\0core\0\0");
    return ByteBuffer.allocate(8 + body.length)
        .putInt(8 + body.length)
        .putInt(3 << 16)
        .put(body)
        .array();
  }

  static byte[] query(String statement) {
    return new Out().message('Q', text(statement + "\0")).bytes();
  }

  static String read(String key, String comment) {
    return "SELECT val FROM state WHERE uid = '" + key + "' /* " + comment + " */";
  }

  static String write(String key, String hex, String comment) {
    return "INSERT INTO state (uid, val) VALUES ('"
        + key
        + "', '\\x"
        + hex
        + "') RETURNING val /* "
        + comment
        + " */";
  }

  // ------------------------------------------------------------------ database hosts

  /** A statement as a host has received it. */
  record Statement(String text, boolean isWrite, String id, String key, long receivedMillis) {}

  /** What a host does; the methods may wait, as each connection has a thread of its own. */
  interface Behaviour {
    /** Called when a router has connected and before the host welcomes it. */
    default void connected(Host host) {}

    /** Returns the answer without ReadyForQuery, or null for none. */
    Out answer(Host host, Statement statement);

    /** How long a connection may rest before the host closes it. */
    default int idleMillis() {
      return 30_000;
    }
  }

  static final class Host {
    private static final Pattern ID = Pattern.compile("id=([^, ]+)");
    private static final Pattern KEY = Pattern.compile("'([^']+)'");
    final String name;
    final ServerSocket listener;
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    volatile boolean isPrimary;

    /** Returns the time up to which this host has applied the log, Unix time in ms. */
    volatile LongSupplier position = System::currentTimeMillis;

    /** Whether answers carry a load report; probes get one in any case. */
    volatile boolean reportsInline = true;

    private final Behaviour behaviour;
    private final Record record;

    Host(String name, boolean isPrimary, Behaviour behaviour, Record record) throws IOException {
      this.name = name;
      this.isPrimary = isPrimary;
      this.behaviour = behaviour;
      this.record = record;
      listener = new ServerSocket(0, 512, LOOPBACK);
      daemon(name, this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    String report() {
      return "x0=" + position.getAsLong() / 1000.0 + ",x1=" + (isPrimary ? 1 : 0) + ",queue=0,util=0.1";
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          sockets.add(socket);
          daemon(name + "-connection", () -> serve(socket));
        }
      } catch (IOException e) {
        // the listener was closed
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        DataInputStream in =
            new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
        OutputStream out = socket.getOutputStream();
        in.readNBytes(in.readInt() - 4);
        behaviour.connected(this);
        out.write(new Out().message('R', new byte[4]).ready().bytes());
        while (true) {
          socket.setSoTimeout(behaviour.idleMillis());
          Message message = read(in);
          long received = System.currentTimeMillis();
          if (message.type() == 'X') {
            return;
          }
          String text = new String(message.body(), StandardCharsets.ISO_8859_1);
          text = text.substring(0, text.length() - 1);
          Out answer = answer(text, received);
          if (answer == null) {
            socket.setSoTimeout(0);
            in.read(); // until the router ends the connection
            return;
          }
          answer.status("part", isPrimary ? "master" : "replica");
          if (reportsInline) {
            answer.status("gauges", report());
          }
          out.write(answer.ready().bytes());
        }
      } catch (IOException e) {
        // the connection has ended
      } finally {
        sockets.remove(socket);
      }
    }

    private Out answer(String text, long received) {
      if (text.equals("SHOW gauges")) {
        return new Out().row(text(report()), "SHOW");
      }
      if (text.equals("SELECT 1")) {
        return new Out().row(text("1"), "SELECT 1");
      }
      Matcher id = ID.matcher(text);
      Matcher key = KEY.matcher(text);
      if (!id.find() || !key.find()) {
        record.line(name + " got a statement that no client sent: " + text);
        return new Out().error("08P01");
      }
      return behaviour.answer(
          this,
          new Statement(text, text.startsWith("INSERT"), id.group(1), key.group(1), received));
    }

    /** Ends the host's process: connections are reset, new ones are refused. */
    void die() throws IOException {
      listener.close();
      for (Socket socket : sockets) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }
  }

  // ------------------------------------------------------------------ discovery

  record Entry(String id, int port, int cell, String state, String role) {
    String json() {
      return "{\"id\":\""
          + id
          + "\",\"addr\":\"127.0.0.1:"
          + port
          + "\",\"zone\":\"ikeja-dc\",\"kind\":\"std-5core\",\"cell\":"
          + cell
          + ",\"state\":\""
          + state
          + "\",\"weight\":1.0,\"started_ms\":0"
          + (role.isEmpty() ? "" : ",\"part\":\"" + role + "\"")
          + "}";
    }

    Entry withState(String newState) {
      return new Entry(id, port, cell, newState, role);
    }
  }

  static String list(long version, boolean full, List<Entry> entries) {
    StringBuilder out = new StringBuilder();
    out.append("{\"version\":").append(version).append(",\"full\":").append(full);
    out.append(",\"servers\":[");
    for (int i = 0; i < entries.size(); i++) {
      out.append(i == 0 ? "" : ",").append(entries.get(i).json());
    }
    return out.append("]}").toString();
  }

  /** The discovery agent of one router. */
  static final class Discovery {
    private static final Pattern SINCE = Pattern.compile("since=(\\d+)");
    final ServerSocket listener;
    private final Record record;
    private final List<Entry> entries = new ArrayList<>();
    private final Map<Long, Entry> changes = new ConcurrentHashMap<>();
    private long version = 41;

    /** How long the agent takes to answer a call. */
    volatile long delayMillis;

    Discovery(List<Entry> initial, Record record) throws IOException {
      this.record = record;
      entries.addAll(initial);
      listener = new ServerSocket(0, 64, LOOPBACK);
      daemon("discovery", this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    synchronized String full() {
      return list(version, true, entries);
    }

    synchronized void change(Entry entry) {
      version++;
      entries.removeIf(known -> known.id().equals(entry.id()));
      if (!entry.state().equals("Gone")) {
        entries.add(entry);
      }
      changes.put(version, entry);
      record.line("discovery has version " + version + ": " + entry.id() + " " + entry.state());
      notifyAll();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          daemon("discovery-call", () -> serve(socket));
        }
      } catch (IOException e) {
        // closed
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
          int next = socket.getInputStream().read();
          if (next < 0) {
            return;
          }
          head.append((char) next);
        }
        String line = head.substring(0, head.indexOf("\r"));
        record.line("discovery is asked: " + line);
        long delay = delayMillis;
        sleep(delay);
        if (line.contains("follow=1")) {
          Matcher since = SINCE.matcher(line);
          watch(socket, since.find() ? Long.parseLong(since.group(1)) : 0);
        } else {
          String body = full();
          socket
              .getOutputStream()
              .write(
                  text(
                      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                          + body.length()
                          + "\r\n\r\n"
                          + body));
          record.line("discovery has answered after " + delay + " ms: " + line);
        }
      } catch (IOException e) {
        record.line("a call of discovery was ended by the router");
      }
    }

    private void watch(Socket socket, long since) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      long sent = since;
      while (true) {
        String line;
        synchronized (this) {
          if (sent == version) {
            try {
              wait(2000);
            } catch (InterruptedException e) {
              return;
            }
          }
          if (sent == version) {
            line = "\n";
          } else {
            List<Entry> changed = new ArrayList<>();
            for (long v = sent + 1; v <= version; v++) {
              if (changes.containsKey(v)) {
                changed.add(changes.get(v));
              }
            }
            line = list(version, false, changed) + "\n";
            sent = version;
          }
        }
        out.write(text(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
        out.flush();
      }
    }
  }

  // ------------------------------------------------------------------ routers

  /** A router, started as the deploy file says. */
  static final class Router implements AutoCloseable {
    final Process process;
    final int port;
    final Path log;

    /**
     * Starts a router and waits until it has answered an empty query.
     *
     * @param config the whole configuration
     */
    Router(Path directory, String config, int port) throws IOException {
      this.port = port;
      Path root = Path.of(System.getProperty("repository"));
      Path file = directory.resolve("config-" + port + ".json");
      Files.writeString(file, config);
      log = directory.resolve("router-" + port + ".log");
      String run = "";
      for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run = \"")) {
          run = line.substring(7, line.length() - 1);
        }
      }
      ProcessBuilder builder =
          new ProcessBuilder("/bin/sh", "-c", run)
              .directory(root.toFile())
              .redirectErrorStream(true)
              .redirectOutput(log.toFile());
      Path temporary = Files.createDirectories(directory.resolve("tmp-" + port));
      builder.environment().put("TMPDIR", temporary.toString());
      builder.environment().put("NODE_CONFIG", file.toString());
      process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    void awaitReady(long millis) throws IOException {
      long end = System.currentTimeMillis() + millis;
      while (System.currentTimeMillis() < end && process.isAlive()) {
        try (Client probe = new Client(port, 1000)) {
          probe.send("");
          if (probe.answer().kind().equals("ready")) {
            return;
          }
        } catch (IOException notYet) {
          sleep(50);
        }
      }
      throw new IOException("the router was not ready in time: " + Files.readString(log));
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() throws IOException {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Settings as those of a small deployment; the arguments are what the cases differ in. */
  static String config(
      int port, int discoveryPort, String known, String classes, String domain, String more) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"discovery\":\"127.0.0.1:"
        + discoveryPort
        + "\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
        + "\"known\":"
        + known
        + ",\"settings\":{\"classes\":"
        + classes
        + ",\"clients\":{\"marks_retry\":false},\"discovery\":\"automatic\","
        + "\"family\":\"replicas\",\"n_instances\":3,\"me\":0,\"resolution\":0.005,\"domain\":"
        + domain
        + ","
        + more
        + "\"limits\":{\"conn_idle\":30.0,\"dial_timeout\":0.25,\"max_retry_after\":0.5,"
        + "\"may_cancel\":true,\"most_tries\":10,\"probes\":true,\"retry_after\":true,"
        + "\"parallel_tries\":false,\"streams_per_conn\":1},"
        + "\"rules\":{\"ask_within\":10.0,\"cold\":14.0,\"cold_from\":0.15,\"drain_grace\":2.0,"
        + "\"fall\":1.0,\"tip_multiple\":4.0,\"grace_to_answer\":0.02}}}";
  }

  static final String LAGOS_CLASSES =
      "[{\"name\":\"pass-check\",\"aim\":0.4,\"deadline\":1.5,\"semantics\":\"repeatable\","
          + "\"key_scope\":\"all\",\"window\":5.0,\"late_value\":0.0,\"value\":2.0},"
          + "{\"name\":\"dues-report\",\"aim\":6.0,\"deadline\":12.0,\"semantics\":\"repeatable\","
          + "\"key_scope\":\"all\",\"window\":5.0,\"late_value\":0.0,\"value\":6.0},"
          + "{\"name\":\"dues-payment\",\"aim\":0.75,\"deadline\":5.0,\"semantics\":\"once\","
          + "\"key_scope\":\"all\",\"window\":5.0,\"late_value\":0.7,\"value\":6.0}]";

  static final String LAGOS_DOMAIN =
      "{\"behind\":\"reject\",\"lag_allowed\":[0.5,0.0,0.0],"
          + "\"needs_by_class\":[\"recent\",\"loose\",\"update\"],\"role_listed\":\"delayed\","
          + "\"synchronous\":false,\"tells_position\":false,\"token_mode\":\"client\"}";

  static final String REPORT_INLINE =
      "\"load_report\":{\"how\":\"inline\",\"names\":[\"x0\",\"x1\",\"queue\",\"util\"]},";

  // ------------------------------------------------------------------ clients

  /**
   * An answer to a client.
   *
   * @param kind served, refused, failed, ready (to an empty query), closed (the connection ended
   *     without an answer) or none (nothing came in time)
   */
  record Answer(String kind, String code, byte[] value) {}

  static final class Client implements AutoCloseable {
    final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;

    Client(int port, int timeoutMillis) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
      out = socket.getOutputStream();
      out.write(startup());
      while (read(in).type() != 'Z') {
        // the welcome
      }
    }

    void timeout(int millis) throws IOException {
      socket.setSoTimeout(Math.max(1, millis));
    }

    void send(String statement) throws IOException {
      out.write(query(statement));
    }

    void sendBytes(byte[] bytes) throws IOException {
      out.write(bytes);
    }

    /** Reads the answer to one statement. */
    Answer answer() {
      String kind = "none";
      String code = "";
      byte[] value = new byte[0];
      try {
        while (true) {
          Message message = read(in);
          switch (message.type()) {
            case 'I' -> kind = "ready";
            case 'D' -> {
              value = new byte[message.body().length - 6];
              System.arraycopy(message.body(), 6, value, 0, value.length);
            }
            case 'C' -> kind = "served";
            case 'E' -> {
              String fields = new String(message.body(), StandardCharsets.ISO_8859_1);
              code = fields.substring(fields.indexOf("\0C") + 2, fields.indexOf("\0C") + 7);
              kind = code.equals("53300") || code.equals("57P03") ? "refused" : "failed";
              if (fields.startsWith("SFATAL")) {
                return new Answer(kind, code + " FATAL", value);
              }
            }
            case 'Z' -> {
              return new Answer(kind, code, value);
            }
            default -> {}
          }
        }
      } catch (SocketTimeoutException e) {
        return new Answer("none", code, value);
      } catch (EOFException e) {
        return new Answer("closed", "end", value);
      } catch (IOException e) {
        return new Answer("closed", "reset", value);
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static <T> List<T> sharedList() {
    return new CopyOnWriteArrayList<>();
  }
}
