package rushwood.server;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A discovery agent that serves an endpoint list, and watches with events added by a test. */
final class StandInDiscovery extends StandInServer {
  final BlockingQueue<String> watchEvents = new LinkedBlockingQueue<>();
  final BlockingQueue<String> requestedPaths = new LinkedBlockingQueue<>();
  volatile String endpointList;
  final AtomicInteger unansweredCalls = new AtomicInteger(); // calls still to be ignored

  volatile long answerDelayMillis; // of each call

  StandInDiscovery() throws IOException {}

  /** Waits for a watch of the changes since the version; polls before it are skipped. */
  void awaitWatchRequest(int version) throws InterruptedException {
    String next = Await.firstMatch(requestedPaths, path -> !path.equals("/registry/instances"));
    assertEquals("/registry/instances?follow=1&since=" + version, next);
  }

  @Override
  void serve(Socket connection) throws IOException, InterruptedException {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(connection.getInputStream(), UTF_8));
    String line = in.readLine();
    if (line == null) {
      return; // closed without a request
    }
    String path = line.split(" ")[1];
    requestedPaths.add(path);
    boolean isUnanswered = unansweredCalls.getAndUpdate(calls -> Math.max(0, calls - 1)) > 0;
    if (isUnanswered) {
      return;
    }
    Thread.sleep(answerDelayMillis);
    if (path.contains("follow")) {
      serveWatch(connection.getOutputStream());
    } else {
      serveList(connection.getOutputStream());
    }
  }

  private void serveList(OutputStream out) throws IOException {
    String list = endpointList;
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n";
    out.write((head + list).getBytes(UTF_8));
  }

  private void serveWatch(OutputStream out) throws IOException, InterruptedException {
    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
    while (true) {
      String event = watchEvents.take() + "\n";
      out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(UTF_8));
    }
  }
}
