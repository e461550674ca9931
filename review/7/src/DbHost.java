import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A database host of five cores, which is never behind its primary. */
class DbHost implements AutoCloseable {
  private static final int CORES = 5;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static volatile long result;
  private static final Pattern ID = Pattern.compile("[ ,]id=([^,* ]+)");
  final String id;
  final boolean primary;
  private final long workNanos;
  private final CaseRecord record;
  private final ServerSocket listener;
  private final Semaphore cores = new Semaphore(CORES);
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  /** Creates a host that listens, on which each statement takes so much time of the processor. */
  DbHost(String id, boolean primary, long workNanos, CaseRecord record) throws IOException {
    this.id = id;
    this.primary = primary;
    this.workNanos = workNanos;
    this.record = record;
    listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        daemon(() -> serve(socket));
      }
    } catch (IOException closed) {
      // the host has ended
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      PgWire.read(in, false);
      out.write(PgWire.startupAnswer());
      while (true) {
        PgWire.Message message = PgWire.read(in, true);
        if (message.type != 'Q') {
          return;
        }
        answer(message, socket, in, out);
      }
    } catch (IOException | InterruptedException ended) {
      // the connection has ended
    } finally {
      connections.remove(socket);
    }
  }

  private void answer(PgWire.Message message, Socket socket, DataInputStream in, OutputStream out)
      throws IOException, InterruptedException {
    String text = message.text();
    if (text.startsWith("SHOW")) {
      out.write(PgWire.join(PgWire.row(PgWire.utf8(report()), "SHOW"), PgWire.ready()));
      return;
    }
    Matcher matcher = ID.matcher(text);
    if (!matcher.find()) {
      out.write(PgWire.join(PgWire.error("08P01", "no such statement"), PgWire.ready()));
      record.line("host " + id + " got what no client sends: " + text);
      return;
    }
    String request = matcher.group(1);
    boolean write = text.startsWith("INSERT");
    if (write && !primary) {
      out.write(PgWire.join(PgWire.error("25006", "not the primary"), state(0), PgWire.ready()));
      return;
    }
    cores.acquire();
    try {
      work();
    } finally {
      cores.release();
    }
    record.line("host " + id + " ran " + request);
    long commit = write ? System.currentTimeMillis() + 1 : 0;
    byte[] answer =
        PgWire.join(
            PgWire.row(PgWire.utf8("value of " + request), write ? "INSERT 0 1" : "SELECT 1"),
            state(commit),
            PgWire.ready());
    send(request, answer, socket, in, out);
  }

  private void work() {
    long end = THREADS.getCurrentThreadCpuTime() + workNanos;
    while (THREADS.getCurrentThreadCpuTime() < end) {
      long sum = 0;
      for (int i = 0; i < 20_000; i++) {
        sum += i * sum + 1;
      }
      result = sum;
    }
  }

  void send(String request, byte[] answer, Socket socket, DataInputStream in, OutputStream out)
      throws IOException, InterruptedException {
    out.write(answer);
  }

  private byte[] state(long commit) {
    byte[] state =
        PgWire.join(
            PgWire.parameter("part", primary ? "master" : "replica"),
            PgWire.parameter("gauges", report()));
    return commit == 0
        ? state
        : PgWire.join(state, PgWire.parameter("caught_up_to", Long.toString(commit)));
  }

  private String report() {
    double position = System.currentTimeMillis() / 1000.0 - (primary ? 0 : 0.01);
    return String.format(
        Locale.ROOT, "x0=%.3f,x1=%d,queue=0,util=0.3", position, primary ? 1 : 0);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
