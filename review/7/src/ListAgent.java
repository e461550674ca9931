import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A discovery agent. A list is taken when the call for it comes, and is sent in pieces of one entry,
 * with a pause before each; a change on an open watch has one entry. Without a pause it answers
 * straight away.
 */
final class ListAgent implements AutoCloseable {
  private record Change(int version, List<String> entries) {}

  private final CaseRecord record;
  private final ServerSocket listener;
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final List<LinkedBlockingQueue<Change>> watches = new ArrayList<>();
  private int version = 41;
  volatile long pauseMillis;

  /** When an entry that says Terminating was written to the router whole, by host. */
  final Map<String, Long> toldDraining = new ConcurrentHashMap<>();

  ListAgent(CaseRecord record) throws IOException {
    this.record = record;
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    DbHost.daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  static String entry(DbHost host, String state, long startedMillis) {
    return String.format(
        "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"ikeja-dc\",\"kind\":\"std-5core\","
            + "\"cell\":%d,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d,\"part\":\"%s\"}",
        host.id, host.port(), host.group, state, startedMillis, host.primary ? "master" : "replica");
  }

  /** Lists a host without a change, before the router starts. */
  synchronized void list(DbHost host) {
    entries.put(host.id, entry(host, "Ready", 0));
  }

  synchronized String known() {
    return list(version, true, new ArrayList<>(entries.values()));
  }

  synchronized void change(DbHost host, String state, long startedMillis) {
    String entry = entry(host, state, startedMillis);
    version++;
    if (state.equals("Gone")) {
      entries.remove(host.id);
    } else {
      entries.put(host.id, entry);
    }
    record.line("discovery version " + version + ": " + host.id + " is " + state);
    watches.forEach(watch -> watch.add(new Change(version, List.of(entry))));
  }

  private static String list(int version, boolean full, List<String> entries) {
    return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
        + String.join(",", entries) + "]}";
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        DbHost.daemon(() -> serve(socket));
      }
    } catch (IOException closed) {
      // the agent has ended
    }
  }

  private void serve(Socket socket) {
    LinkedBlockingQueue<Change> watch = new LinkedBlockingQueue<>();
    try (socket) {
      BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
      String call = in.readLine();
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {}
      if (call == null) {
        return;
      }
      boolean follows = call.contains("follow=1");
      Change list;
      synchronized (this) {
        list = new Change(version, new ArrayList<>(entries.values()));
        if (follows) {
          watches.add(watch);
        }
      }
      OutputStream out = socket.getOutputStream();
      if (follows) {
        out.write(PgWire.utf8("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        send(out, list, true, true);
        while (true) {
          Change change = watch.poll(2, TimeUnit.SECONDS);
          if (change == null) {
            chunk(out, "\n");
          } else {
            send(out, change, false, true);
          }
        }
      }
      int length = list(list.version, true, list.entries).length();
      out.write(PgWire.utf8("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n"));
      send(out, list, true, false);
      record.line("discovery sent the whole list of version " + list.version);
      in.readLine();
    } catch (IOException | InterruptedException ended) {
      // the call has ended
    } finally {
      synchronized (this) {
        watches.remove(watch);
      }
    }
  }

  private void send(OutputStream out, Change list, boolean full, boolean chunked)
      throws IOException, InterruptedException {
    write(out, "{\"version\":" + list.version + ",\"full\":" + full + ",\"servers\":[", chunked);
    for (int i = 0; i < list.entries.size(); i++) {
      Thread.sleep(pauseMillis);
      boolean last = i == list.entries.size() - 1;
      write(out, list.entries.get(i) + (last ? "]}" : ",") + (last && chunked ? "\n" : ""), chunked);
    }
    if (list.entries.isEmpty()) {
      write(out, "]}", chunked);
    }
    long now = System.currentTimeMillis();
    for (String entry : list.entries) {
      if (entry.contains("Terminating")) {
        String id = entry.substring(7, entry.indexOf('"', 7));
        if (toldDraining.putIfAbsent(id, now) == null) {
          record.line("the router was told that " + id + " drains, in version " + list.version);
        }
      }
    }
  }

  private static void write(OutputStream out, String text, boolean chunked) throws IOException {
    if (chunked) {
      chunk(out, text);
    } else {
      out.write(PgWire.utf8(text));
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    out.write(PgWire.utf8(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
