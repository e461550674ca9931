import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Some answers of the database hosts bring a second copy right behind, and messages from the hosts
 * come in pieces. No client may get a value that was made for another request.
 */
public final class LateCopy {
  private static final double COPIES = 0.1; // share of the answers that bring a second copy
  private static final int MAX_PIECE_BYTES = 64;
  private static final double GAP_MS = 4; // between two pieces
  private static final int CLIENTS = 16;
  private static final double RUN_MS = 45_000;

  private LateCopy() {}

  public static void main(String[] arguments) {
    Standin.main(arguments, (root, folder, trouble) -> {
      Standin.Settings settings =
          new Standin.Settings().product("pass-check", "recent", 0.5, 0.4, 1.5, "repeatable", 5, 0);
      Standin.Agent agent = new Standin.Agent("A");
      Random random = new Random(6);
      for (int i = 0; i < 4; i++) {
        Standin.Host host = new Standin.Host("s-" + i, 2, i == 0);
        host.answerer = (self, arrival, socket, in, out) -> copy(self, arrival, out, random, trouble);
        agent.add(host, "127.0.0.1:" + pieces(host, i), i == 0 ? "master" : "replica");
      }
      Standin.Router router = new Standin.Router(root, folder, "router", Standin.freePort());
      try (router) {
        router.configure(settings.config(router, agent.address(), agent.full()));
        router.start();
        router.awaitReady();
        List<Thread> clients = new ArrayList<>();
        double end = Standin.ms() + RUN_MS;
        for (int i = 0; i < CLIENTS; i++) {
          String key = "key" + i;
          Thread client = new Thread(() -> ask(router, key, end));
          client.start();
          clients.add(client);
        }
        for (Thread client : clients) {
          client.join();
        }
      }
      return check();
    });
  }

  /** Answers and, with some answers, writes a second copy right behind in the same write. */
  private static boolean copy(
      Standin.Host host, Standin.Arrival arrival, OutputStream out, Random random, boolean trouble)
      throws IOException {
    boolean brings;
    synchronized (random) {
      brings = trouble && random.nextDouble() < COPIES;
    }
    if (!brings) {
      return false;
    }
    Standin.sleep(host.workMs);
    host.run(arrival);
    byte[] answer = host.served(arrival).toBytes();
    byte[] twice = Arrays.copyOf(answer, 2 * answer.length);
    System.arraycopy(answer, 0, twice, answer.length, answer.length);
    Standin.Rec.line("host " + host.id + " writes the answer to " + arrival.id + " twice");
    out.write(twice);
    out.flush();
    return true;
  }

  /** Opens a way to the host on which what the host writes comes in pieces; returns its port. */
  private static int pieces(Standin.Host host, int seed) throws IOException {
    ServerSocket listener = new ServerSocket(0, 200, Standin.LOOPBACK);
    Random seeds = new Random(seed);
    Standin.thread("way to " + host.id, () -> {
      while (true) {
        try {
          Socket near = listener.accept();
          Socket far = new Socket(Standin.LOOPBACK, host.port);
          near.setTcpNoDelay(true);
          far.setTcpNoDelay(true);
          Standin.thread("to host", () -> pass(near, far, null));
          Random sizes = new Random(seeds.nextLong());
          Standin.thread("from host", () -> pass(far, near, sizes));
        } catch (IOException e) {
          Standin.Rec.line("way to " + host.id + ": " + e);
        }
      }
    });
    return listener.getLocalPort();
  }

  private static void pass(Socket from, Socket to, Random sizes) {
    byte[] buffer = new byte[4096];
    try (from; to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      while (true) {
        int wanted = sizes == null ? buffer.length : 1 + sizes.nextInt(MAX_PIECE_BYTES);
        int count = in.read(buffer, 0, wanted);
        if (count < 0) {
          return;
        }
        out.write(buffer, 0, count);
        out.flush();
        if (sizes != null && in.available() > 0) {
          Standin.sleep(GAP_MS);
        }
      }
    } catch (IOException e) {
      // one side has closed
    }
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

  private static boolean check() {
    int served = 0;
    int foreign = 0;
    for (Standin.Request request : Standin.REQUESTS.values()) {
      if (!request.served) {
        continue;
      }
      served++;
      if (!request.answer.equals("value of " + request.id)) {
        foreign++;
        Standin.Rec.line("BROKEN: " + request.id + " got the " + request.answer);
      }
    }
    String result = served + " requests were served, " + foreign + " with a foreign value";
    Standin.Rec.line(result);
    System.out.println(result);
    if (served < 1000) {
      throw new IllegalStateException("too few requests were served");
    }
    return foreign == 0;
  }
}
