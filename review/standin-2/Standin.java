import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for what surrounds a router: database hosts, a discovery agent, clients and the
 * platform that starts and signals the router. They speak the published protocol on loopback
 * addresses, use the real clock, and record what was sent, answered and run.
 */
public final class Standin {
  private Standin() {}

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final long START = System.nanoTime();
  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "timer");
            thread.setDaemon(true);
            return thread;
          });

  /** Returns the time since the start of this program in milliseconds. */
  static double ms() {
    return (System.nanoTime() - START) / 1e6;
  }

  static void sleep(double millis) {
    try {
      if (millis > 0) {
        TimeUnit.NANOSECONDS.sleep((long) (millis * 1e6));
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static void later(double millis, Runnable task) {
    TIMER.schedule(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            Rec.line("stand-in error " + e);
          }
        },
        (long) (millis * 1e6),
        TimeUnit.NANOSECONDS);
  }

  static void thread(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
      return socket.getLocalPort();
    }
  }

  /** The record of a run, one line for each event, with the time in milliseconds. */
  static final class Rec {
    private static BufferedWriter out;

    static synchronized void open(Path file) throws IOException {
      out = Files.newBufferedWriter(file);
    }

    static synchronized void line(String text) {
      try {
        if (out != null) {
          out.write(String.format("%10.1f %s%n", ms(), text));
        }
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    static synchronized void close() throws IOException {
      if (out != null) {
        out.close();
        out = null;
      }
    }
  }

  /** A statement as a database host received it. */
  static final class Arrival {
    final Host host;
    final String id;
    final String requestClass;
    final String key;
    final long told; // the field d
    final boolean write;
    final double at; // of its last byte
    volatile boolean ran;
    volatile String outcome = "";

    Arrival(Host host, Map<String, String> fields, String key, boolean write, double at) {
      this.host = host;
      this.id = fields.getOrDefault("id", "");
      this.requestClass = fields.getOrDefault("c", "");
      this.told = Long.parseLong(fields.getOrDefault("d", "0"));
      this.key = key;
      this.write = write;
      this.at = at;
    }
  }

  /** All statements that reached a database host, in order. */
  static final ConcurrentLinkedQueue<Arrival> ARRIVALS = new ConcurrentLinkedQueue<>();

  /** A database host. Its public fields say how it behaves; the defaults are those of a sound one. */
  static final class Host {
    final String id;
    final int port;
    final int cell;
    volatile boolean primary;
    volatile double workMs = 20;
    volatile double connectMs = 0; // the time that a new connection takes to come up
    volatile java.util.function.IntToDoubleFunction connectDelay; // the same, by its number
    private final java.util.concurrent.atomic.AtomicInteger connections =
        new java.util.concurrent.atomic.AtomicInteger();
    volatile boolean hangs; // takes everything, answers nothing
    volatile boolean tellsPosition; // caught_up_to in answers to reads
    volatile double lagMs = 5; // of a replica
    volatile java.util.function.DoubleSupplier lag; // the same, where it changes
    volatile long startedMs;
    volatile boolean answersGauges = true;
    volatile Answerer answerer; // null: as a sound host does
    volatile java.util.concurrent.Semaphore cores; // null: as many as needed
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;

    Host(String id, int cell, boolean primary) throws IOException {
      this.id = id;
      this.cell = cell;
      this.primary = primary;
      listener = new ServerSocket(0, 200, LOOPBACK);
      port = listener.getLocalPort();
      accept(listener);
    }

    private void accept(ServerSocket from) {
      thread(
          "host " + id,
          () -> {
            while (!from.isClosed()) {
              try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                thread("conn " + id, () -> serve(socket));
              } catch (IOException e) {
                return;
              }
            }
          });
    }

    /** The process dies: connections are reset, new ones refused. */
    void crash() {
      try {
        listener.close();
      } catch (IOException e) {
        // closed already
      }
      resetAll();
      Rec.line("host " + id + " died");
    }

    void restart() throws IOException {
      ServerSocket again = new ServerSocket();
      again.setReuseAddress(true);
      again.bind(new InetSocketAddress(LOOPBACK, port), 200);
      startedMs = System.currentTimeMillis();
      hangs = false;
      listener = again;
      accept(again);
      Rec.line("host " + id + " started");
    }

    void resetAll() {
      for (Socket socket : sockets) {
        reset(socket);
      }
      sockets.clear();
    }

    long positionMs() {
      java.util.function.DoubleSupplier changing = lag;
      double behind = changing == null ? lagMs : changing.getAsDouble();
      return System.currentTimeMillis() - (primary ? 0 : (long) Math.ceil(behind));
    }

    private void serve(Socket socket) {
      try (socket) {
        DataInputStream in =
            new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 17));
        OutputStream out = socket.getOutputStream();
        int length = in.readInt();
        in.readFully(new byte[length - 4]);
        java.util.function.IntToDoubleFunction delay = connectDelay;
        sleep(delay == null ? connectMs : delay.applyAsDouble(connections.incrementAndGet()));
        waitWhileHanging();
        Wire hello = new Wire();
        hello.message('R').int32(0).end();
        hello.message('Z').int8('I').end();
        hello.to(out);
        while (true) {
          int type = in.read();
          if (type != 'Q') {
            return;
          }
          byte[] body = new byte[in.readInt() - 4];
          in.readFully(body);
          double at = ms();
          String sql = new String(body, 0, body.length - 1, StandardCharsets.ISO_8859_1);
          waitWhileHanging();
          query(sql, at, socket, in, out);
        }
      } catch (IOException | IllegalStateException e) {
        // the connection has ended
      } finally {
        sockets.remove(socket);
      }
    }

    private void waitWhileHanging() {
      while (hangs) {
        sleep(5);
      }
    }

    private void query(String sql, double at, Socket socket, DataInputStream in, OutputStream out)
        throws IOException {
      Wire wire = new Wire();
      if (sql.equals("SHOW gauges")) {
        if (answersGauges) {
          String seconds = String.format("%d.%03d", positionMs() / 1000, positionMs() % 1000);
          wire.row(("x0=" + seconds + ",x1=" + (primary ? 1 : 0)).getBytes(), "SHOW");
        } else {
          wire.error("42501", "not here");
        }
        wire.ready().to(out);
        return;
      }
      if (sql.startsWith("SELECT 1")) {
        wire.row("1".getBytes(), "SELECT 1").ready().to(out);
        return;
      }
      Map<String, String> fields = fields(sql);
      boolean write = sql.startsWith("INSERT INTO state (uid, val) VALUES ('");
      if (fields == null || !(write || sql.startsWith("SELECT val FROM state WHERE uid = '"))) {
        Rec.line("host " + id + " 08P01 " + sql);
        wire.error("08P01", "no such statement").ready().to(out);
        return;
      }
      int keyStart = sql.indexOf('\'') + 1;
      String key = sql.substring(keyStart, sql.indexOf('\'', keyStart));
      Arrival arrival = new Arrival(this, fields, key, write, at);
      ARRIVALS.add(arrival);
      Rec.line(
          "host "
              + id
              + (primary ? " (primary)" : "")
              + " got "
              + arrival.id
              + " c="
              + arrival.requestClass
              + " d="
              + arrival.told);
      Answerer special = answerer;
      if (special != null && special.answer(this, arrival, socket, in, out)) {
        return;
      }
      answer(arrival, out);
    }

    /** Answers as a sound host does. */
    void answer(Arrival arrival, OutputStream out) throws IOException {
      if (arrival.write && !primary) {
        refuse(arrival, "25006", out);
        return;
      }
      work();
      if (arrival.write && !primary) {
        refuse(arrival, "XX000", out);
        return;
      }
      run(arrival);
      served(arrival).to(out);
    }

    /** Takes the time of a request, on a core if their number is limited. */
    void work() {
      java.util.concurrent.Semaphore limit = cores;
      if (limit != null) {
        limit.acquireUninterruptibly();
      }
      try {
        sleep(workMs);
        waitWhileHanging();
      } finally {
        if (limit != null) {
          limit.release();
        }
      }
    }

    void run(Arrival arrival) {
      arrival.ran = true;
      arrival.outcome = "ran";
      Rec.line("host " + id + " ran " + arrival.id);
    }

    void refuse(Arrival arrival, String code, OutputStream out) throws IOException {
      arrival.outcome = code;
      Rec.line("host " + id + " answered " + arrival.id + " " + code);
      Wire wire = new Wire().error(code, "no");
      status(wire, arrival, false);
      wire.ready().to(out);
    }

    /** The whole answer to a statement that was served. */
    Wire served(Arrival arrival) {
      Wire wire = new Wire();
      wire.row(value(arrival).getBytes(), arrival.write ? "INSERT 0 1" : "SELECT 1");
      status(wire, arrival, true);
      return wire.ready();
    }

    private void status(Wire wire, Arrival arrival, boolean ok) {
      wire.status("part", primary ? "master" : "replica");
      if (arrival.write && ok) {
        wire.status("caught_up_to", Long.toString(System.currentTimeMillis() + 1));
      } else if (tellsPosition) {
        wire.status("caught_up_to", Long.toString(positionMs()));
      }
    }

    /** The value that this host gives for a request; every request has another one. */
    static String value(Arrival arrival) {
      return "value of " + arrival.id;
    }
  }

  /** An answer of a host that is not the usual one. */
  interface Answerer {
    /** Answers and returns true, or returns false for the usual answer. */
    boolean answer(
        Host host, Arrival arrival, Socket socket, DataInputStream in, OutputStream out)
        throws IOException;
  }

  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // closed already
    }
  }

  /** The fields of the comment at the end of a statement, or null. */
  static Map<String, String> fields(String sql) {
    int start = sql.lastIndexOf("/* ");
    int end = sql.lastIndexOf(" */");
    if (start < 0 || end < start) {
      return null;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    for (String pair : sql.substring(start + 3, end).split(",")) {
      int equals = pair.indexOf('=');
      if (equals < 0) {
        return null;
      }
      fields.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return fields;
  }

  /** Messages of PostgreSQL's protocol 3. */
  static final class Wire {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private ByteArrayOutputStream body;
    private int type;

    Wire message(int messageType) {
      type = messageType;
      body = new ByteArrayOutputStream();
      return this;
    }

    Wire int8(int value) {
      body.write(value);
      return this;
    }

    Wire int16(int value) {
      return int8(value >> 8).int8(value);
    }

    Wire int32(int value) {
      return int16(value >> 16).int16(value);
    }

    Wire raw(byte[] value) {
      body.writeBytes(value);
      return this;
    }

    Wire text(String value) {
      return raw(value.getBytes(StandardCharsets.ISO_8859_1)).int8(0);
    }

    Wire end() {
      if (type != 0) {
        bytes.write(type);
      }
      int length = body.size() + 4;
      for (int shift = 24; shift >= 0; shift -= 8) {
        bytes.write(length >> shift);
      }
      bytes.writeBytes(body.toByteArray());
      return this;
    }

    Wire row(byte[] value, String tag) {
      message('T').int16(1).text("val").int32(0).int16(0).int32(17).int16(-1).int32(-1).int16(1);
      end();
      message('D').int16(1).int32(value.length).raw(value).end();
      return message('C').text(tag).end();
    }

    Wire error(String code, String text) {
      message('E').int8('S').text("ERROR").int8('C').text(code).int8('M').text(text).int8(0);
      return end();
    }

    Wire status(String name, String value) {
      return message('S').text(name).text(value).end();
    }

    Wire ready() {
      return message('Z').int8('I').end();
    }

    byte[] toBytes() {
      return bytes.toByteArray();
    }

    void to(OutputStream out) throws IOException {
      out.write(bytes.toByteArray());
      out.flush();
    }
  }

  /** A discovery agent, which answers at once with whatever it has been sent. */
  static final class Agent {
    static final class Entry {
      final Host host;
      String addr;
      String state = "Ready";
      String part; // null: not listed
      long started;

      Entry(Host host, String addr, String part) {
        this.host = host;
        this.addr = addr;
        this.part = part;
      }

      String json() {
        return "{\"id\":\"" + host.id + "\",\"addr\":\"" + addr
            + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":" + host.cell
            + ",\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + started
            + (part == null ? "" : ",\"part\":\"" + part + "\"") + "}";
      }
    }

    final String name;
    final int port;
    final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<OutputStream> watches = Collections.synchronizedList(new ArrayList<>());
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ServerSocket listener;
    volatile boolean silent;
    volatile long version = 1;

    Agent(String name) throws IOException {
      this.name = name;
      listener = new ServerSocket(0, 200, LOOPBACK);
      port = listener.getLocalPort();
      thread("agent " + name, this::accept);
      thread("heartbeat " + name, this::heartbeat);
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    synchronized void add(Host host, String part) {
      add(host, "127.0.0.1:" + host.port, part);
    }

    synchronized void add(Host host, String addr, String part) {
      Entry entry = new Entry(host, addr, part);
      entry.started = host.startedMs;
      entries.put(host.id, entry);
    }

    /** Changes the state of a host and tells it on the watches. */
    synchronized void state(Host host, String state) {
      Entry entry = entries.get(host.id);
      entry.state = state;
      entry.started = host.startedMs;
      version++;
      String line = list(false, List.of(entry)) + "\n";
      if (state.equals("Gone")) {
        entries.remove(host.id);
      }
      Rec.line("agent " + name + " has " + line.strip());
      tell(line);
    }

    synchronized String list(boolean full, Iterable<Entry> listed) {
      StringBuilder text = new StringBuilder();
      for (Entry entry : listed) {
        text.append(text.length() == 0 ? "" : ",").append(entry.json());
      }
      return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + text + "]}";
    }

    synchronized String full() {
      return list(true, entries.values());
    }

    private void tell(String line) {
      if (silent) {
        return;
      }
      byte[] chunk = chunk(line);
      for (OutputStream watch : List.copyOf(watches)) {
        try {
          watch.write(chunk);
          watch.flush();
        } catch (IOException e) {
          watches.remove(watch);
        }
      }
    }

    private static byte[] chunk(String line) {
      byte[] data = line.getBytes(StandardCharsets.UTF_8);
      return (Integer.toHexString(data.length) + "\r\n" + line + "\r\n")
          .getBytes(StandardCharsets.UTF_8);
    }

    private void heartbeat() {
      while (true) {
        sleep(2000);
        tell("\n");
      }
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          sockets.add(socket);
          thread("agent connection", () -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try {
        DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        OutputStream out = socket.getOutputStream();
        while (true) {
          String request = readHead(in);
          while (silent) {
            sleep(20);
          }
          Rec.line("agent " + name + " was asked " + request);
          if (request.contains("follow=1")) {
            synchronized (this) {
              out.write(
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      .getBytes(StandardCharsets.UTF_8));
              out.write(chunk(full() + "\n"));
              out.flush();
              watches.add(out);
            }
          } else {
            byte[] body = full().getBytes(StandardCharsets.UTF_8);
            out.write(
                ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            out.write(body);
            out.flush();
          }
        }
      } catch (IOException e) {
        // the router has closed the connection
      } finally {
        sockets.remove(socket);
        try {
          socket.close();
        } catch (IOException e) {
          // closed already
        }
      }
    }

    private static String readHead(DataInputStream in) throws IOException {
      StringBuilder head = new StringBuilder();
      while (!head.toString().endsWith("\r\n\r\n")) {
        int next = in.read();
        if (next < 0) {
          throw new EOFException();
        }
        head.append((char) next);
      }
      return head.substring(0, head.indexOf("\r\n"));
    }

    /** Takes no new connection, and closes the open ones after the given time. */
    void retire(double closeAfterMs) throws IOException {
      listener.close();
      later(
          closeAfterMs,
          () -> {
            for (Socket socket : sockets) {
              try {
                socket.close();
              } catch (IOException e) {
                // closed already
              }
            }
          });
    }
  }

  /** A request of a client and its answer. */
  static final class Request {
    final String id;
    final String requestClass;
    final String key;
    final long timeoutMs;
    volatile double sentAt;
    volatile double answeredAt = -1;
    volatile double goneAt = -1; // the client closed its connection
    volatile String answer = ""; // value, code of an error, or "closed"
    volatile boolean served;
    volatile int retryAfterMs;

    Request(String id, String requestClass, String key, long timeoutMs) {
      this.id = id;
      this.requestClass = requestClass;
      this.key = key;
      this.timeoutMs = timeoutMs;
    }

    boolean refused() {
      return answer.equals("53300") || answer.equals("57P03");
    }
  }

  static final ConcurrentHashMap<String, Request> REQUESTS = new ConcurrentHashMap<>();
  private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime() & 0xffffff);

  static Request newRequest(String requestClass, String key, long timeoutMs) {
    String id = String.format("%016x", NEXT_ID.incrementAndGet() * 0x9E3779B97F4A7C15L);
    Request request = new Request(id, requestClass, key, timeoutMs);
    REQUESTS.put(id, request);
    return request;
  }

  /** A connection of a client to a router. */
  static final class Client implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    final int cell;

    Client(int port, int cell) throws IOException {
      this.cell = cell;
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
      out = socket.getOutputStream();
      Wire wire = new Wire();
      wire.message(0).int32(196608).text("user").text("client").text("database").text("core");
      wire.int8(0).end().to(out);
      socket.setSoTimeout(3000);
      String answer = read(null);
      if (!answer.isEmpty()) {
        throw new IOException("refused: " + answer);
      }
    }

    Socket socket() {
      return socket;
    }

    static String sql(Request request, boolean write, int cell, String more) {
      String comment =
          "/* id=" + request.id + ",c=" + request.requestClass + ",t=acme,d=" + request.timeoutMs
              + ",cluster=" + cell + more + " */";
      return write
          ? "INSERT INTO state (uid, val) VALUES ('" + request.key + "', '\\x9f03') RETURNING val "
              + comment
          : "SELECT val FROM state WHERE uid = '" + request.key + "' " + comment;
    }

    void send(Request request, boolean write, String more) throws IOException {
      request.sentAt = ms();
      Rec.line("client sent " + request.id + " c=" + request.requestClass);
      query(sql(request, write, cell, more));
    }

    void query(String text) throws IOException {
      new Wire().message('Q').text(text).end().to(out);
    }

    /** Reads the answer to the request; gives up long after its time. */
    void receive(Request request, double graceMs) {
      try {
        socket.setSoTimeout((int) (request.timeoutMs + graceMs));
        String answer = read(request);
        request.answeredAt = ms();
        request.answer = answer;
      } catch (SocketTimeoutException e) {
        request.answer = "none";
      } catch (IOException e) {
        request.answeredAt = ms();
        request.answer = "closed";
      }
      Rec.line("client has answer to " + request.id + ": " + request.answer);
    }

    void ask(Request request, boolean write) throws IOException {
      send(request, write, "");
      receive(request, 1500);
    }

    /** Reads up to ReadyForQuery; returns the value, the code of an error or an empty text. */
    private String read(Request request) throws IOException {
      String answer = "";
      while (true) {
        int type = in.read();
        if (type < 0) {
          if (!answer.isEmpty()) {
            return answer; // after a fatal error
          }
          throw new EOFException();
        }
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        if (type == 'D') {
          int length = ((body[2] & 255) << 24) | ((body[3] & 255) << 16) | ((body[4] & 255) << 8)
              | (body[5] & 255);
          answer = new String(body, 6, length, StandardCharsets.ISO_8859_1);
          if (request != null) {
            request.served = true;
          }
        } else if (type == 'E') {
          answer = field(body, 'C');
          String wait = field(body, 'D');
          if (request != null && wait.matches("[0-9]+")) {
            request.retryAfterMs = Integer.parseInt(wait);
          }
        } else if (type == 'I') {
          answer = "empty";
        } else if (type == 'Z') {
          return answer;
        }
      }
    }

    private static String field(byte[] body, char wanted) {
      int at = 0;
      while (at < body.length && body[at] != 0) {
        char type = (char) body[at];
        int end = at + 1;
        while (body[end] != 0) {
          end++;
        }
        if (type == wanted) {
          return new String(body, at + 1, end - at - 1, StandardCharsets.ISO_8859_1);
        }
        at = end + 1;
      }
      return "";
    }

    boolean isReady() throws IOException {
      query("");
      return read(null).equals("empty");
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // closed already
      }
    }
  }

  /** A router, started with the command of the deploy file. */
  static final class Router implements AutoCloseable {
    final int port;
    private final Path root;
    private final Path config;
    private final Path log;
    private Process process;

    Router(Path root, Path folder, String name, int port) {
      this.root = root;
      this.port = port;
      config = folder.resolve(name + ".json");
      log = folder.resolve(name + ".log");
    }

    void configure(String json) throws IOException {
      Path next = Path.of(config + ".new");
      Files.writeString(next, json);
      Files.move(
          next,
          config,
          java.nio.file.StandardCopyOption.REPLACE_EXISTING,
          java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    void start() throws IOException {
      String run = "";
      for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run = \"")) {
          run = line.substring(7, line.lastIndexOf('"'));
        }
      }
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
      builder.directory(root.toFile());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      builder.redirectInput(new File("/dev/null"));
      builder.environment().put("NODE_CONFIG", config.toString());
      Path temporary = Files.createTempDirectory(config.getParent(), "tmp");
      builder.environment().put("TMPDIR", temporary.toString());
      builder.environment().remove("NODE_NAME");
      builder.environment().remove("NODE_LISTEN");
      builder.environment().remove("NODE_DISCOVERY");
      builder.environment().remove("RUSHWOOD_SETTINGS");
      process = builder.start();
      Process started = process;
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
      Rec.line("platform starts the router, process " + process.pid());
    }

    void awaitReady() throws IOException {
      double limit = ms() + 30_000;
      while (ms() < limit) {
        try (Client client = new Client(port, 0)) {
          if (client.isReady()) {
            Rec.line("router is ready");
            return;
          }
        } catch (IOException e) {
          // not yet
        }
        if (!process.isAlive()) {
          break;
        }
        sleep(50);
      }
      throw new IOException("the router is not ready: " + Files.readString(log));
    }

    void signal(String name) throws IOException {
      Rec.line("platform sends SIG" + name);
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    boolean isAlive() {
      return process.isAlive();
    }

    boolean awaitExit(double millis) {
      double limit = ms() + millis;
      while (process.isAlive() && ms() < limit) {
        sleep(10);
      }
      return !process.isAlive();
    }

    String log() throws IOException {
      return Files.readString(log);
    }

    @Override
    public void close() {
      if (process != null) {
        process.destroyForcibly();
        awaitExit(3000);
      }
    }
  }

  /** The settings of a small deployment. Times are in seconds. */
  static final class Settings {
    private final List<String> classes = new ArrayList<>();
    private final List<String> needs = new ArrayList<>();
    private final List<String> lags = new ArrayList<>();
    double drainGrace = 2;
    double idle = 30;
    String behind = "reject";
    String report = "inline";
    String tokens = "client";
    boolean tellsPosition;
    boolean removalNotBinding;
    boolean parallel;
    int routers = 3;
    int sockets = 512;

    /** Adds a product; the need is update, latest, own_writes, recent or loose. */
    Settings product(
        String name, String need, double lag, double aim, double deadline, String semantics,
        double window, double lateValue) {
      classes.add(
          "{\"name\":\"" + name + "\",\"aim\":" + aim + ",\"deadline\":" + deadline
              + ",\"key_scope\":\"" + (semantics.equals("by_key") ? "cell" : "all")
              + "\",\"late_value\":" + lateValue + ",\"semantics\":\"" + semantics
              + "\",\"streaming\":false,\"value\":2.0,\"window\":" + window + "}");
      needs.add("\"" + need + "\"");
      lags.add(Double.toString(lag));
      return this;
    }

    String json() {
      return "{\"n_instances\":" + routers + ",\"me\":0,\"stage\":0,\"resolution\":0.005,"
          + "\"classes\":[" + String.join(",", classes) + "],\"clients\":{\"marks_retry\":false},"
          + "\"discovery\":\"automatic\",\"family\":\"replicas\",\"domain\":{\"behind\":\""
          + behind + "\",\"lag_allowed\":[" + String.join(",", lags)
          + "],\"needs_by_class\":[" + String.join(",", needs)
          + "],\"patience\":0.0,\"position_zero\":0.0,\"role_listed\":\"delayed\","
          + "\"synchronous\":false,\"tells_position\":" + tellsPosition
          + ",\"token_mode\":\"" + tokens + "\"},\"kinds\":[\"m\"],\"limits\":{\"conn_idle\":"
          + idle + ",\"cpu_us_per_request\":0.0,\"dial_timeout\":0.25,\"max_open\":20000,"
          + "\"max_retry_after\":0.5,\"may_cancel\":true,\"may_tell\":false,\"most_tries\":10,"
          + "\"parallel_tries\":" + parallel + ",\"probes\":true,\"retry_after\":true,"
          + "\"streams_per_conn\":1},\"load_report\":{\"how\":\"" + report
          + "\",\"names\":[\"x0\",\"x1\"]},\"orgs\":[],\"rules\":{\"ask_within\":10.0,"
          + "\"cold\":14.0,\"cold_from\":0.15,\"drain_grace\":" + drainGrace
          + ",\"fall\":1.0,\"grace_to_answer\":0.02,\"tip_multiple\":4.0"
          + (removalNotBinding ? ",\"removal_not_binding\":true" : "")
          + "},\"weight_source\":\"nominal\",\"worth_by\":\"request\",\"zone\":\"a\","
          + "\"zones\":[\"a\"]}";
    }

    /** The configuration of a router that last held the given list. */
    String config(Router router, String discovery, String known) {
      return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + router.port
          + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
          + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
          + "},\"known\":" + known + ",\"settings\":" + json() + "}";
    }
  }

  /** Runs a case: exits with 1 if it returns false, 0 if true, and 2 if it cannot run. */
  interface Case {
    /** Returns whether the rule was kept. */
    boolean run(Path root, Path folder, boolean trouble) throws Exception;
  }

  static void main(String[] arguments, Case body) {
    int status = 2;
    Path folder = null;
    try {
      Rec.open(Path.of(arguments[1]));
      folder = Files.createTempDirectory("rushwood-case");
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      status = body.run(Path.of(arguments[0]).toAbsolutePath(), folder, trouble) ? 0 : 1;
    } catch (Throwable e) {
      Rec.line("the case could not run: " + e);
      e.printStackTrace();
    }
    Rec.line("exit " + status);
    try {
      Rec.close();
    } catch (IOException e) {
      status = 2;
    }
    if (folder != null && System.getenv("KEEP") == null) {
      deleteTree(folder.toFile());
    } else {
      System.out.println(folder);
    }
    Runtime.getRuntime().halt(status);
  }

  private static void deleteTree(File file) {
    File[] children = file.listFiles();
    if (children != null) {
      for (File child : children) {
        deleteTree(child);
      }
    }
    file.delete();
  }
}
