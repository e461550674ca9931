import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A router is killed; while it is down its agent hears that a database host drains, and then
 * discovery is down for some seconds. What the agent has counts as told from the first moment of
 * the new process, so the host must not get anything new after the grace.
 */
public final class SilentAgent {
  private static final double GRACE_MS = 2000;
  private static final double SLACK_MS = 50;
  private static final double OUTAGE_MS = 8000;

  private SilentAgent() {}

  public static void main(String[] arguments) {
    Standin.main(arguments, (root, folder, trouble) -> {
      Standin.Settings settings =
          new Standin.Settings().product("pass-check", "recent", 0.5, 0.4, 1.5, "repeatable", 5, 0);
      Standin.Agent agent = new Standin.Agent("A");
      List<Standin.Host> hosts = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        Standin.Host host = new Standin.Host("s-" + i, 2, i == 0);
        hosts.add(host);
        agent.add(host, i == 0 ? "master" : "replica");
      }
      agent.version = 41;
      Standin.Host leaving = hosts.get(2);
      int port = Standin.freePort();
      Standin.Router router = new Standin.Router(root, folder, "router", port);
      double started;
      double readyAfter;
      try (router) {
        String config = settings.config(router, agent.address(), agent.full());
        router.configure(config);
        router.start();
        router.awaitReady();
        ask(router, "key", Standin.ms() + 1500);
        router.signal("KILL");
        router.awaitExit(3000);
        agent.state(leaving, "Terminating");
        Standin.sleep(500);
        if (trouble) {
          agent.silent = true;
          Standin.Rec.line("discovery is down");
          Standin.later(OUTAGE_MS, () -> {
            agent.silent = false;
            Standin.Rec.line("discovery is up");
          });
        }
        Standin.sleep(500);
        router.start();
        started = Standin.ms();
        router.awaitReady();
        readyAfter = Standin.ms() - started;
        double end = started + OUTAGE_MS + 2000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          String key = "key" + i;
          Thread client = new Thread(() -> ask(router, key, end));
          client.start();
          clients.add(client);
        }
        for (Thread client : clients) {
          client.join();
        }
      }
      return check(leaving, started, readyAfter);
    });
  }

  private static void ask(Standin.Router router, String key, double end) {
    try (Standin.Client client = new Standin.Client(router.port, 2)) {
      while (Standin.ms() < end) {
        client.ask(Standin.newRequest("pass-check", key, 1500), false);
        Standin.sleep(20);
      }
    } catch (IOException e) {
      Standin.Rec.line("a client has ended: " + e);
    }
  }

  private static boolean check(Standin.Host leaving, double started, double readyAfter) {
    int late = 0;
    double last = 0;
    for (Standin.Arrival arrival : Standin.ARRIVALS) {
      if (arrival.host == leaving && arrival.at > started + GRACE_MS + SLACK_MS) {
        late++;
        last = arrival.at - started;
        Standin.Rec.line(
            String.format(
                "BROKEN: %s reached host %s %.0f ms after the start of the process",
                arrival.id, leaving.id, last));
      }
    }
    String result =
        String.format(
            "ready after %.0f ms; %d of %d statements reached the draining host too late, the last"
                + " one after %.0f ms",
            readyAfter, late, Standin.ARRIVALS.size(), last);
    Standin.Rec.line(result);
    System.out.println(result);
    if (Standin.ARRIVALS.size() < 300) {
      throw new IllegalStateException("too few requests were sent");
    }
    return late == 0;
  }
}
