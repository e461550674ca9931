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
  private static final int LIST_PARTS = 10;

  final BlockingQueue<String> watchEvents = new LinkedBlockingQueue<>();
  final BlockingQueue<String> requestedPaths = new LinkedBlockingQueue<>();
  volatile String endpointList;
  final AtomicInteger unansweredCalls = new AtomicInteger(); // calls still to be ignored

  final AtomicInteger truncatedLists = new AtomicInteger(); // lists still to be sent in part

  volatile long answerDelayMillis; // of each call
  volatile long listDelayMillis; // of each list, in addition
  volatile long watchDelayMillis; // of each watch, in addition
  volatile long listSendMillis; // time over which the parts of a list are sent

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

  private void serveList(OutputStream out) throws IOException, InterruptedException {
    Thread.sleep(listDelayMillis);
    String list = endpointList;
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n";
    byte[] answer = (head + list).getBytes(UTF_8);
    boolean isTruncated = truncatedLists.getAndUpdate(lists -> Math.max(0, lists - 1)) > 0;
    int end = isTruncated ? answer.length / 2 : answer.length;
    int partBytes = answer.length / LIST_PARTS + 1;
    for (int start = 0; start < end; start += partBytes) {
      out.write(answer, start, Math.min(partBytes, end - start));
      Thread.sleep(listSendMillis / LIST_PARTS);
    }
  }

  private void serveWatch(OutputStream out) throws IOException, InterruptedException {
    Thread.sleep(watchDelayMillis);
    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(UTF_8));
    while (true) {
      String event = watchEvents.take() + "\n";
      out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(UTF_8));
    }
  }
}
