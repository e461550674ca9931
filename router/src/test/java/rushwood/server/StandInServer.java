package rushwood.server;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A server on loopback that serves each connection on a separate thread. */
abstract class StandInServer implements Closeable {
  private static final int LISTEN_BACKLOG = 50;

  final ServerSocket socket;
  private final List<Socket> openSockets = new ArrayList<>(); // guarded by itself

  StandInServer() throws IOException {
    socket = new ServerSocket(0, LISTEN_BACKLOG, InetAddress.getByName("127.0.0.1"));
    startThread(this::acceptConnections);
  }

  /** A task that ends with an exception when its connection or the test ends. */
  interface ThrowingTask {
    void run() throws IOException, InterruptedException;
  }

  /** Starts a daemon thread that ignores the exception with which its task ends. */
  static Thread startThread(ThrowingTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                return; // the connection or the test has ended
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void acceptConnections() throws IOException {
    while (true) {
      Socket next = socket.accept();
      synchronized (openSockets) {
        openSockets.add(next);
      }
      startThread(() -> serve(next));
    }
  }

  /** Serves one connection; runs on the connection's thread. */
  abstract void serve(Socket connection) throws IOException, InterruptedException;

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Closes all open connections; new ones are still accepted. */
  void closeConnections() throws IOException {
    synchronized (openSockets) {
      for (Socket open : openSockets) {
        open.close();
      }
      openSockets.clear();
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
    closeConnections();
  }
}
