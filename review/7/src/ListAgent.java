import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.stream.Collectors;

/** A discovery agent whose list does not change; it answers straight away. */
final class ListAgent implements AutoCloseable {
  private static final long HEARTBEAT_MILLIS = 2_000;
  private final ServerSocket listener;
  private final String list;

  ListAgent(List<DbHost> hosts) throws IOException {
    list =
        hosts.stream()
            .map(ListAgent::entry)
            .collect(Collectors.joining(",", "{\"version\":41,\"full\":true,\"servers\":[", "]}"));
    listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    DbHost.daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  String list() {
    return list;
  }

  private static String entry(DbHost host) {
    return String.format(
        "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"ikeja-dc\",\"kind\":\"std-5core\","
            + "\"cell\":1,\"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0,\"part\":\"%s\"}",
        host.id, host.port(), host.primary ? "master" : "replica");
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
    try (socket) {
      BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
      String call = in.readLine();
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {}
      if (call == null) {
        return;
      }
      OutputStream out = socket.getOutputStream();
      if (!call.contains("follow=1")) {
        out.write(PgWire.utf8("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
        in.readLine();
        return;
      }
      out.write(PgWire.utf8("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      for (String line = list + "\n"; ; line = "\n") {
        out.write(PgWire.utf8(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
        Thread.sleep(HEARTBEAT_MILLIS);
      }
    } catch (IOException | InterruptedException ended) {
      // the call has ended
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
