package rushwood.server;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import rushwood.protocol.TestMessages;

/**
 * A database server whose responses are set by a test. It closes the connection after a response
 * that does not end with ReadyForQuery.
 */
final class StandInBackend extends StandInServer {
  private static final int READY_MESSAGE_LENGTH = 6;

  final BlockingQueue<String> receivedStatements = new LinkedBlockingQueue<>();
  final String role;
  volatile Function<String, byte[]> responder;
  volatile boolean resetsConnections;
  volatile boolean keepsConnectionOpen; // also after an incomplete response
  volatile CountDownLatch startupGate = new CountDownLatch(0); // delays startup responses

  StandInBackend(String role) throws IOException {
    this.role = role;
    responder = statement -> rowResponse(role, role);
  }

  /** Returns a complete response of one row that reports the role of the backend. */
  static byte[] rowResponse(String value, String role) {
    return TestMessages.concat(
        TestMessages.rowResponse(value),
        TestMessages.parameterStatus("part", role),
        TestMessages.readyForQuery());
  }

  /** Returns a responder that gives the response after a delay that depends on the statement. */
  static Function<String, byte[]> respondAfterDelay(
      ToLongFunction<String> delayMillis, byte[] response) {
    return statement -> {
      try {
        Thread.sleep(delayMillis.applyAsLong(statement)); // the delay of the response
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return response;
    };
  }

  /** Returns a responder that waits for the gate before each response. */
  static Function<String, byte[]> respondAfterGate(
      CountDownLatch gate, Function<String, byte[]> responder) {
    return statement -> {
      try {
        gate.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return responder.apply(statement);
    };
  }

  /** Waits for the next statement of a client and returns it; health checks are skipped. */
  String nextStatement() throws InterruptedException {
    return Await.firstMatch(receivedStatements, statement -> !statement.startsWith("SHOW"));
  }

  void respondWith(byte[] response) {
    responder = statement -> response;
  }

  @Override
  void serve(Socket connection) throws IOException, InterruptedException {
    if (resetsConnections) {
      connection.setSoLinger(true, 0);
      connection.close();
      return;
    }
    DataInputStream in = new DataInputStream(connection.getInputStream());
    in.readNBytes(in.readInt() - 4);
    startupGate.await();
    connection.getOutputStream().write(TestMessages.startupResponse());
    while (true) {
      in.readByte();
      byte[] text = in.readNBytes(in.readInt() - 4);
      String statement = new String(text, 0, text.length - 1, StandardCharsets.UTF_8);
      receivedStatements.add(statement);
      byte[] response = responder.apply(statement);
      connection.getOutputStream().write(response);
      if (!keepsConnectionOpen && !isComplete(response)) {
        connection.close();
        return;
      }
    }
  }

  private static boolean isComplete(byte[] response) {
    return response.length >= READY_MESSAGE_LENGTH
        && response[response.length - READY_MESSAGE_LENGTH] == 'Z';
  }
}
