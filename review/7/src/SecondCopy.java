import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The rule on lost requests, while busy hosts send a second copy right behind some answers.
 * Arguments: the root of the repository and the record.
 */
final class SecondCopy {
  private static final int MEMBERS = 4;
  private static final double SHARE = 0.2; // of the answers have a second copy behind them
  private static final int CLIENTS = 160; // under a third of the descriptors
  private static final int REQUESTS_PER_SECOND = 640; // at most; twice the usual 320
  private static final int HOST_CORES = MEMBERS * 5;
  private static final long DURATION_MILLIS = 40_000;

  private final CaseRecord record;
  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger crossed = new AtomicInteger();
  private final Set<String> excused = ConcurrentHashMap.newKeySet();
  private final Queue<String> foreign = new ConcurrentLinkedQueue<>(); // ids whose values went to others
  private final AtomicInteger other = new AtomicInteger();
  private volatile boolean over;

  private SecondCopy(CaseRecord record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Path file = Path.of(args[1]);
    int code;
    try (CaseRecord record = new CaseRecord(file)) {
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      code = new SecondCopy(record).run(root, file.resolveSibling("settings.json"), trouble);
    }
    System.exit(code);
  }

  private final class CopyingHost extends DbHost {
    private final boolean copying;

    private final Set<Socket> crossedConnections = ConcurrentHashMap.newKeySet();

    CopyingHost(String id, boolean primary, long workNanos, boolean copying) throws IOException {
      super(id, primary, workNanos, record);
      this.copying = copying;
    }

    /**
     * Writes the answer and, right behind it, its copy, if nothing waits on the connection. If
     * something waits once the copy is written, it may have come before the copy, which the pages
     * do not allow: this value and all later ones of the connection are excused.
     */
    @Override
    void send(String request, byte[] answer, Socket socket, DataInputStream in, OutputStream out)
        throws IOException {
      boolean copied = copying && ThreadLocalRandom.current().nextDouble() < SHARE;
      if (crossedConnections.contains(socket)) {
        excused.add(request);
      }
      out.write(answer);
      if (!copied || in.available() > 0) {
        return;
      }
      out.write(answer);
      copies.incrementAndGet();
      boolean waits = in.available() > 0;
      record.line("host " + id + " sent " + request + " twice" + (waits ? ", crossed" : ", nothing waits"));
      if (waits) {
        crossed.incrementAndGet();
        excused.add(request);
        crossedConnections.add(socket);
      }
    }
  }

  private int run(Path root, Path settings, boolean trouble) throws Exception {
    long workNanos =
        1_000_000_000L
            * Math.min(HOST_CORES, Runtime.getRuntime().availableProcessors())
            / REQUESTS_PER_SECOND;
    List<DbHost> hosts = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      hosts.add(new CopyingHost("s-" + (10 + i), i == 0, workNanos, trouble));
    }
    ListAgent agent = new ListAgent(hosts);
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    try (RouterProcess router = new RouterProcess(root, settings, port, agent.port(), agent.list())) {
      if (!router.awaitReady(port)) {
        record.say("the router did not become ready");
        return 2;
      }
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        DbHost.daemon(() -> ask(number, port));
      }
      Thread.sleep(DURATION_MILLIS);
      over = true;
      Thread.sleep(2_000);
      if (!router.isAlive()) {
        record.say("the router has ended");
        return 2;
      }
    }
    long judged = foreign.stream().filter(id -> !excused.contains(id)).count();
    record.say(
        served + " served, " + other + " refused or failed, " + copies + " copies, " + crossed
            + " of them crossed by a statement");
    record.say(judged + " clients got the value of another request; " + (foreign.size() - judged) + " excused");
    if (served.get() < 1000) {
      record.say("too few requests were served for a verdict");
      return 2;
    }
    return judged > 0 ? 1 : 0;
  }

  /** Asks at most once in each interval of a client. */
  private void ask(int number, int port) {
    long intervalMillis = 1000L * CLIENTS / REQUESTS_PER_SECOND;
    long next = System.currentTimeMillis() + number * intervalMillis / CLIENTS;
    for (int i = 0; !over; i++) {
      try (AskingClient client = new AskingClient(port)) {
        for (; !over; i++) {
          ask(client, number, String.format("%08x%08x", number, i));
          next = Math.max(next + intervalMillis, System.currentTimeMillis());
          Thread.sleep(Math.max(0, next - System.currentTimeMillis()));
        }
      } catch (IOException broken) {
        other.incrementAndGet();
        record.line("client " + number + " lost its connection: " + broken);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void ask(AskingClient client, int number, String id) throws IOException {
    record.line("client " + number + " asks " + id);
    String answer =
        client.ask(
            "SELECT val FROM state WHERE uid = 'k" + id + "' /* id=" + id
                + ",c=pass-check,t=lekki-sports,d=1500,cluster=1 */");
    if (answer.equals("value of " + id)) {
      served.incrementAndGet();
      record.line("client " + number + " got its value for " + id);
    } else if (answer.startsWith("value of ")) {
      foreign.add(answer.substring("value of ".length()));
      record.line("client " + number + " asked " + id + " and got the " + answer);
    } else {
      other.incrementAndGet();
      record.line("client " + number + " got for " + id + ": " + answer);
    }
  }
}
