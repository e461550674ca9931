import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The rule on lost requests, while busy hosts send a second copy right behind some answers.
 * Arguments: the root of the repository and the record.
 */
final class SecondCopy {
  private static final int MEMBERS = 4;
  private static final double SHARE = 0.2; // of the answers have a second copy behind them
  private static final long WORK_MILLIS = 10;
  private static final int CLIENTS_PER_PROCESSOR = 20;
  private static final int MAX_CLIENTS = 200;
  private static final int THINK_MILLIS = 100; // at most, between two requests of a client
  private static final long DURATION_MILLIS = 50_000;

  private final CaseRecord record;
  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();
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

    CopyingHost(String id, boolean primary, boolean copying) throws IOException {
      super(id, 1, primary, WORK_MILLIS, true, true, record, (host, request, statement) -> {});
      this.copying = copying;
    }

    /** Writes the answer and, right behind it, its copy, unless anything waits on the connection. */
    @Override
    void send(String request, byte[] answer, Socket socket, DataInputStream in, OutputStream out)
        throws IOException {
      boolean copied = copying && ThreadLocalRandom.current().nextDouble() < SHARE;
      out.write(answer);
      if (copied) {
        long answered = System.nanoTime();
        if (in.available() == 0) {
          out.write(answer);
          copies.incrementAndGet();
          long micros = (System.nanoTime() - answered) / 1000;
          record.line(
              "host " + id + " sent " + request + " twice, " + micros + " us apart, while nothing waited");
        }
      }
    }
  }

  private int run(Path root, Path settings, boolean trouble) throws Exception {
    ListAgent agent = new ListAgent(record);
    List<DbHost> hosts = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      DbHost host = new CopyingHost("s-" + (10 + i), i == 0, trouble);
      hosts.add(host);
      agent.list(host);
    }
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    try (RouterProcess router = new RouterProcess(root, settings, port, agent.port(), agent.known())) {
      if (!router.awaitReady(port)) {
        record.say("the router did not become ready");
        return 2;
      }
      int clients =
          Math.min(MAX_CLIENTS, CLIENTS_PER_PROCESSOR * Runtime.getRuntime().availableProcessors());
      for (int i = 0; i < clients; i++) {
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
    record.say(served + " served, " + other + " refused or failed, " + copies + " copies");
    record.say(foreign + " clients got the value of another request");
    if (served.get() < 1000) {
      record.say("too few requests were served for a verdict");
      return 2;
    }
    return foreign.get() > 0 ? 1 : 0;
  }

  private void ask(int number, int port) {
    for (int i = 0; !over; i++) {
      try (AskingClient client = new AskingClient(port)) {
        for (; !over; i++) {
          ask(client, number, String.format("%08x%08x", number, i));
          Thread.sleep(ThreadLocalRandom.current().nextInt(THINK_MILLIS));
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
      foreign.incrementAndGet();
      record.line("client " + number + " asked " + id + " and got the " + answer);
    } else {
      other.incrementAndGet();
      record.line("client " + number + " got for " + id + ": " + answer);
    }
  }
}
