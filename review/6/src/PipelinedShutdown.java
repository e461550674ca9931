import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;

/**
 * In a burst of traffic clients send many commands at once, and then the router is told to end. Every command that was
 * written before SIGTERM on a connection that the router had accepted needs a final answer.
 */
public final class PipelinedShutdown {
  private static final int CONNECTIONS = 180; // of 1,024 descriptors; at most a third hold requests
  private static final int COMMANDS = 40; // on each connection, sent at once
  private static final double INTERVAL_MS = 50; // between two connections: 800 commands a second
  private static final double DEADLINE_MS = 1500;
  private static final double KILL_MS = DEADLINE_MS + 700; // after SIGTERM, at the earliest
  private static final double LIMIT_MS = 90_000;

  private PipelinedShutdown() {}

  public static void main(String[] arguments) {
    Standin.main(arguments, (root, folder, trouble) -> {
      Standin.Settings settings =
          new Standin.Settings()
              .product("pass-check", "recent", 0.5, 0.4, DEADLINE_MS / 1000, "repeatable", 5, 0);
      settings.sockets = 1024;
      Standin.Agent agent = new Standin.Agent("A");
      for (int i = 0; i < 6; i++) {
        Standin.Host host = new Standin.Host("s-" + i, 2, i == 0);
        host.workMs = 60;
        host.cores = new Semaphore(5, true);
        agent.add(host, i == 0 ? "master" : "replica");
      }
      Standin.Router router = new Standin.Router(root, folder, "router", Standin.freePort());
      double terminated = Double.MAX_VALUE;
      try (router) {
        router.configure(settings.config(router, agent.address(), agent.full()));
        router.start();
        router.awaitReady();
        CountDownLatch sent = new CountDownLatch(CONNECTIONS);
        List<Thread> clients = new ArrayList<>();
        double first = Standin.ms();
        for (int i = 0; i < CONNECTIONS; i++) {
          Standin.sleep(first + i * INTERVAL_MS - Standin.ms());
          String key = "key" + i;
          Thread client = new Thread(() -> ask(router, key, sent));
          client.start();
          clients.add(client);
        }
        sent.await();
        Standin.sleep(200);
        if (trouble) {
          terminated = Standin.ms();
          router.signal("TERM");
          boolean ended = router.awaitExit(KILL_MS);
          Standin.Rec.line(ended ? "the router has ended" : "the router is killed");
          router.close();
        }
        double limit = Standin.ms() + LIMIT_MS;
        for (Thread client : clients) {
          client.join((long) Math.max(1, limit - Standin.ms()));
        }
      }
      return check(terminated);
    });
  }

  private static void ask(Standin.Router router, String key, CountDownLatch sent) {
    List<Standin.Request> requests = new ArrayList<>();
    try (Standin.Client client = new Standin.Client(router.port, 2)) {
      for (int i = 0; i < COMMANDS; i++) {
        Standin.Request request = Standin.newRequest("pass-check", key, (long) DEADLINE_MS);
        requests.add(request);
        client.send(request, false, "");
      }
      sent.countDown();
      for (Standin.Request request : requests) {
        client.receive(request, LIMIT_MS);
        if (request.answeredAt < 0 || request.answer.equals("closed")) {
          return;
        }
      }
    } catch (IOException e) {
      Standin.Rec.line("a client could not send: " + e);
      sent.countDown();
    }
  }

  private static boolean check(double terminated) {
    int served = 0;
    int refused = 0;
    int failed = 0;
    int lost = 0;
    for (Standin.Request request : Standin.REQUESTS.values()) {
      if (request.sentAt == 0 || request.sentAt > terminated) {
        throw new IllegalStateException("a command was not written before SIGTERM");
      }
      if (request.served) {
        served++;
      } else if (request.refused()) {
        refused++;
      } else if (request.answer.isEmpty()
          || request.answer.equals("closed")
          || request.answer.equals("none")) {
        lost++;
        Standin.Rec.line("BROKEN: no answer to " + request.id);
      } else {
        failed++;
      }
    }
    String result =
        String.format(
            "%d commands: %d served, %d refused, %d failed, %d lost",
            served + refused + failed + lost, served, refused, failed, lost);
    Standin.Rec.line(result);
    System.out.println(result);
    if (served == 0) {
      throw new IllegalStateException("nothing was served");
    }
    return lost == 0;
  }
}
