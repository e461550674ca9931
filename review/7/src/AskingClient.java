import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one connection at a time, which asks one thing after the other. */
final class AskingClient implements AutoCloseable {
  private final int port;
  private Socket socket;
  private DataInputStream in;

  AskingClient(int port) {
    this.port = port;
  }

  private void connect() throws IOException {
    socket = new Socket("127.0.0.1", port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(20_000);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    socket.getOutputStream().write(PgWire.startup("client", "core"));
    readUntilReady();
  }

  /** Returns the value of the row, or "CODE xxxxx" for an error. */
  String ask(String sql) throws IOException {
    try {
      if (socket == null) {
        connect();
      }
      socket.getOutputStream().write(PgWire.query(sql));
      return readUntilReady();
    } catch (IOException broken) {
      close();
      throw broken;
    }
  }

  private String readUntilReady() throws IOException {
    String result = "nothing";
    while (true) {
      PgWire.Message message = PgWire.read(in, true);
      switch (message.type) {
        case 'Z' -> {
          return result;
        }
        case 'D' ->
            result =
                new String(message.body, 6, message.body.length - 6, StandardCharsets.UTF_8);
        case 'E' -> {
          String fields = new String(message.body, StandardCharsets.UTF_8);
          result = "CODE " + fields.substring(fields.indexOf("\0C") + 2).split("\0")[0];
        }
        case 'I' -> result = "empty";
        default -> {}
      }
    }
  }

  @Override
  public void close() throws IOException {
    if (socket != null) {
      socket.close();
      socket = null;
    }
  }
}
