import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A usual client sends a dozen writes at once on its connection, each with a value of 64 KiB or a
 * little less. Each has to get its final answer. Without the trouble the client sends each write
 * when the one before is answered.
 */
final class ManyCommands {
  private static final int COMMANDS = 12;
  private static final int VALUE_BYTES = 64 << 10;
  private static final int DEADLINE_MILLIS = 5000;

  /** 50 ms for sockets and half a second in which an answer only earns nothing. */
  private static final int LATE_MILLIS = 50 + 500;

  /**
   * A connection that the router closes may cross a request that it has not read; the client then
   * sends that request once more. A request that was written this long before crosses nothing.
   */
  private static final int CROSSING_MILLIS = 500;

  private static final int ROUNDS = 3;

  private ManyCommands() {}

  public static void main(String[] arguments) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Kit.Record record = new Kit.Record(Path.of(arguments[0]))) {
      status = run(record, hasTrouble, Path.of(arguments[1]));
      record.line("exit " + status);
    } catch (IOException e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(status);
  }

  private static int run(Kit.Record record, boolean hasTrouble, Path directory) throws Exception {
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
    int answered = 0;
    int lost = 0;
    int crossed = 0;
    try (Kit.Router router = new Kit.Router(directory, config, port)) {
      router.awaitReady(30_000);
      record.line("the router is ready");
      String value = "ab".repeat(VALUE_BYTES);
      for (int round = 0; round < ROUNDS; round++) {
        try (Kit.Client client = new Kit.Client(port, DEADLINE_MILLIS)) {
          List<byte[]> commands = new ArrayList<>();
          ByteArrayOutputStream all = new ByteArrayOutputStream();
          for (int i = 0; i < COMMANDS; i++) {
            String comment =
                "id=" + id(round, i) + ",c=dues-payment,t=lekki-sports,d=" + DEADLINE_MILLIS
                    + ",cluster=2";
            commands.add(Kit.query(Kit.write("k" + round, value, comment)));
            all.writeBytes(commands.get(i));
          }
          // On a connection the time that a command waits for those ahead does not count.
          client.timeout(DEADLINE_MILLIS + LATE_MILLIS);
          boolean isWritten = !hasTrouble || writeAll(client, all.toByteArray(), record, round);
          long writtenAt = System.currentTimeMillis();
          for (int i = 0; isWritten && i < COMMANDS; i++) {
            if (!hasTrouble) {
              client.sendBytes(commands.get(i));
              writtenAt = System.currentTimeMillis();
            }
            Kit.Answer answer = client.answer();
            long millis = System.currentTimeMillis() - writtenAt;
            boolean isClosed = answer.kind().equals("closed");
            boolean isCrossed = isClosed && millis < CROSSING_MILLIS;
            boolean isLost = answer.kind().equals("none") || (isClosed && !isCrossed);
            lost += isLost ? 1 : 0;
            crossed += isCrossed ? 1 : 0;
            answered += isLost || isCrossed ? 0 : 1;
            record.line(
                id(round, i)
                    + (isLost ? " LOST: " : " ")
                    + answer.kind()
                    + " "
                    + answer.code()
                    + ", "
                    + millis
                    + " ms after it was written");
          }
        }
      }
      String summary = answered + " commands answered, " + lost + " lost, " + crossed + " crossed by a close";
      record.line(summary);
      System.out.println(summary);
      record.line("the log of the router:");
      Files.readAllLines(router.log).forEach(record::line);
      return lost > 0 || !router.process.isAlive() ? 1 : 0;
    }
  }

  private static String id(int round, int number) {
    return "p" + round + "-" + number;
  }

  /** Returns whether the last byte was written; otherwise the router has taken not all of them. */
  private static boolean writeAll(Kit.Client client, byte[] bytes, Kit.Record record, int round) {
    try {
      client.sendBytes(bytes);
      record.line("round " + round + ": " + COMMANDS + " commands are written, " + bytes.length
          + " bytes");
      return true;
    } catch (IOException e) {
      record.line("round " + round + ": not all could be written: " + e.getMessage());
      return false;
    }
  }
}
