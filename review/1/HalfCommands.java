import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some hundred clients stop in the middle of a request and stay. Meanwhile each request of the usual
 * clients has to get its final answer in time.
 */
final class HalfCommands {
  private static final int USUAL_CLIENTS = 20;
  private static final int NEARLY_WHOLE = 150;
  private static final int HALF = 210;
  private static final int MISSING_BYTES = 100;
  private static final String VALUE = "ab".repeat(64 << 10);
  private static final int READ_MILLIS = 1500;
  private static final int WRITE_MILLIS = 5000;

  /** 50 ms for sockets and half a second in which an answer only earns nothing. */
  private static final int LATE_MILLIS = 50 + 500;

  private static final long TROUBLE_AT = 3000;
  private static final long LAST_REQUEST_AT = 11_000;

  private final Kit.Record record;
  private final boolean hasTrouble;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger badInTime = new AtomicInteger();
  private final AtomicInteger badSent = new AtomicInteger();

  private HalfCommands(Kit.Record record, boolean hasTrouble) {
    this.record = record;
    this.hasTrouble = hasTrouble;
  }

  public static void main(String[] arguments) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Kit.Record record = new Kit.Record(Path.of(arguments[0]))) {
      status = new HalfCommands(record, hasTrouble).run(Path.of(arguments[1]));
      record.line("exit " + status);
    } catch (IOException e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(status);
  }

  private int run(Path directory) throws Exception {
    Kit.Behaviour behaviour =
        (host, statement) -> {
          if (statement.isWrite() && !host.isPrimary) {
            return new Kit.Out().error("25006");
          }
          Kit.sleep(statement.isWrite() ? 90 : 50);
          record.line(host.name + " ran " + statement.id());
          return new Kit.Out()
              .row(new byte[] {1, 2, 3}, statement.isWrite() ? "INSERT 0 1" : "SELECT 1");
        };
    List<Kit.Entry> entries = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Kit.Host host = new Kit.Host("s-" + i, i == 0, behaviour, record);
      entries.add(new Kit.Entry(host.name, host.port(), 2, "Ready", i == 0 ? "master" : "replica"));
    }
    Kit.Discovery discovery = new Kit.Discovery(entries, record);
    int port = Kit.freePort();
    String config =
        Kit.config(
            port,
            discovery.port(),
            discovery.full(),
            Kit.LAGOS_CLASSES,
            Kit.LAGOS_DOMAIN,
            Kit.REPORT_INLINE);
    try (Kit.Router router = new Kit.Router(directory, config, port)) {
      router.awaitReady(30_000);
      record.line("the router is ready");
      long start = System.currentTimeMillis();
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < USUAL_CLIENTS; i++) {
        int number = i;
        clients.add(Kit.daemon("client-" + i, () -> ask(port, number)));
      }
      Kit.sleep(TROUBLE_AT);
      if (hasTrouble) {
        stopInTheMiddle(port);
      }
      Kit.sleep(start + LAST_REQUEST_AT - System.currentTimeMillis());
      stopping.set(true);
      for (Thread client : clients) {
        client.join(2L * (WRITE_MILLIS + LATE_MILLIS) + 1000);
      }
      String summary =
          "usual clients: "
              + answered
              + " requests answered in time, "
              + lost
              + " lost; bad clients: "
              + badSent
              + " sent, "
              + badInTime
              + " got an error or a close within 3 s; the router "
              + (router.process.isAlive() ? "runs" : "has ended");
      record.line(summary);
      System.out.println(summary);
      record.line("the log of the router:");
      Files.readAllLines(router.log).forEach(record::line);
      return lost.get() > 0 || !router.process.isAlive() ? 1 : 0;
    }
  }

  /** One usual client: a request at a time, each on an open connection if there is one. */
  private void ask(int port, int number) {
    Kit.Client client = null;
    for (int i = 0; !stopping.get(); i++) {
      boolean isWrite = i % 8 == 7;
      int deadlineMillis = isWrite ? WRITE_MILLIS : READ_MILLIS;
      String id = "u" + number + "-" + i;
      String comment =
          "id="
              + id
              + ",c="
              + (isWrite ? "dues-payment" : "pass-check")
              + ",t=lekki-sports,d="
              + deadlineMillis
              + ",cluster=2";
      String statement =
          isWrite ? Kit.write("k" + number, "9f03", comment) : Kit.read("k" + number, comment);
      Kit.Answer answer = null;
      // A connection that the router closes between requests may cross one request: it is sent
      // once more on a new connection.
      for (int sends = 0; sends < 2 && (answer == null || answer.kind().equals("closed")); sends++) {
        try {
          if (client == null) {
            client = new Kit.Client(port, READ_MILLIS);
          }
          client.timeout(deadlineMillis + LATE_MILLIS);
          client.send(statement);
          answer = client.answer();
          if (answer.kind().equals("closed") || answer.kind().equals("none")) {
            client.close();
            client = null;
          }
        } catch (IOException e) {
          // not taken: no connection was accepted, or it broke before the last byte was written
          record.line(id + " could not be sent: " + e.getMessage());
          client = null;
          Kit.sleep(100);
          break;
        }
      }
      if (answer != null) {
        boolean isLost = answer.kind().equals("none") || answer.kind().equals("closed");
        (isLost ? lost : answered).incrementAndGet();
        record.line(
            id + (isLost ? " LOST: " : " ") + answer.kind() + " " + answer.code());
      }
      Kit.sleep(30);
    }
  }

  /**
   * The first of the clients stop shortly before the end of a request of the longest value, the
   * others halfway. All send at full speed, stay, and read what they are sent.
   */
  private void stopInTheMiddle(int port) {
    record.line(
        NEARLY_WHOLE + " clients send all but the end of a request, " + HALF + " the first half");
    List<byte[]> parts = new ArrayList<>();
    for (int i = 0; i < NEARLY_WHOLE + HALF; i++) {
      String comment =
          "id=b" + i + ",c=dues-payment,t=yaba-fitness,d=" + WRITE_MILLIS + ",cluster=2";
      byte[] query = Kit.query(Kit.write("b" + i, VALUE, comment));
      int sent = i < NEARLY_WHOLE ? query.length - MISSING_BYTES : query.length / 2 - MISSING_BYTES;
      parts.add(Arrays.copyOf(query, sent));
    }
    ExecutorService senders = Executors.newFixedThreadPool(16);
    for (int i = 0; i < parts.size(); i++) {
      int number = i;
      senders.execute(() -> sendPart(port, number, parts.get(number)));
    }
    senders.shutdown();
  }

  private void sendPart(int port, int number, byte[] part) {
    long connected = System.currentTimeMillis();
    try {
      Kit.Client client = new Kit.Client(port, 20_000);
      client.sendBytes(part);
      badSent.incrementAndGet();
      Kit.daemon(
          "bad-" + number,
          () -> {
            Kit.Answer end = client.answer();
            long millis = System.currentTimeMillis() - connected;
            record.line("b" + number + " " + end.kind() + " after " + millis + " ms");
            if (!end.kind().equals("none") && millis <= 3000) {
              badInTime.incrementAndGet();
            }
          });
    } catch (IOException e) {
      record.line("b" + number + " could not send: " + e.getMessage());
    }
  }
}
