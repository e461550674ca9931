package rushwood.server;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.protocol.TestMessages;

/**
 * A client connection that has completed the startup. Responses are returned as message types in
 * the form of {@link TestMessages#messageTypes}.
 */
final class TestClient implements Closeable {
  final Socket socket;
  byte[] cancelKey; // lets another connection cancel the request on this one

  TestClient(int port) throws IOException {
    socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(Await.TIMEOUT_MILLIS);
    socket.getOutputStream().write(TestMessages.startup());
    assertEquals(Statements.STARTED, readResponse());
  }

  void send(String statement) throws IOException {
    sendBytes(TestMessages.query(statement));
  }

  void sendBytes(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  String query(String statement) throws IOException {
    send(statement);
    return readResponse();
  }

  /** Reads messages up to ReadyForQuery and returns their types. */
  String readResponse() throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte type;
    do {
      type = in.readByte();
      byte[] body = in.readNBytes(in.readInt() - 4);
      all.writeBytes(TestMessages.message((char) type, body));
      cancelKey = type == 'K' ? body : cancelKey;
    } while (type != 'Z');
    return TestMessages.messageTypes(all.toByteArray());
  }

  CounterSnapshot readCounters() throws IOException {
    send("SHOW counters");
    Map<String, Long> values = new LinkedHashMap<>();
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte type;
    do {
      type = in.readByte();
      byte[] body = in.readNBytes(in.readInt() - 4);
      if (type == 'D') {
        int nameLength = body[5];
        String name = new String(body, 6, nameLength, UTF_8);
        String value = new String(body, 10 + nameLength, body.length - 10 - nameLength, UTF_8);
        values.put(name, Long.valueOf(value));
      }
    } while (type != 'Z');
    return new CounterSnapshot(values);
  }

  /** Reads all bytes up to the end of the stream; fails if the connection is reset. */
  byte[] readToEnd() throws IOException {
    return socket.getInputStream().readAllBytes();
  }

  /** Reads one byte and returns whether the router has closed the connection instead. */
  boolean isClosedByRouter() throws IOException {
    return socket.getInputStream().read() < 0;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
