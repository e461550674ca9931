package rushwood;

import java.io.IOException;
import org.tinylog.configuration.Configuration;
import rushwood.config.InvalidConfigException;
import rushwood.config.OperatorSettings;
import rushwood.config.RouterConfig;
import rushwood.server.HangUpSignal;
import rushwood.server.RouterServer;
import rushwood.simulator.SimulatorAdapter;

/** Command-line entry point of the router's jar. */
public final class Main {
  private static final int EXIT_CANNOT_START = 1;
  private static final int EXIT_USAGE = 2; // also for an invalid configuration

  private Main() {}

  /**
   * Runs the command {@code serve}, which starts a router, or {@code adapter}, which runs the
   * routing policy for the simulator and talks to it over standard input and output.
   *
   * @param args the command only; the configuration comes from environment variables
   * @throws IOException if standard input or output to the simulator fails
   */
  public static void main(String[] args) throws IOException {
    String command = args.length == 1 ? args[0] : "";
    switch (command) {
      case "adapter" -> System.exit(SimulatorAdapter.run(System.in, System.out, System.err));
      case "serve" -> serve();
      default -> {
        System.err.println("usage: rushwood adapter | serve");
        System.exit(EXIT_USAGE);
      }
    }
  }

  /** Starts a router and returns once it listens. The event loop keeps running until SIGTERM. */
  private static void serve() {
    long startedAt = System.nanoTime();
    try {
      HangUpSignal hangUpSignal = HangUpSignal.install();
      OperatorSettings operatorSettings = OperatorSettings.read(System.getenv());
      operatorSettings.jsonLogFile().ifPresent(Main::logAsJson);
      RouterConfig config = RouterConfig.read(System.getenv());
      RouterServer server =
          new RouterServer(config, operatorSettings, System.getenv(), hangUpSignal, startedAt);
      Runtime.getRuntime().addShutdownHook(new Thread(server::stop, "stop"));
      server.start();
    } catch (InvalidConfigException e) {
      System.err.println("rushwood: " + e.getMessage());
      System.exit(EXIT_USAGE);
    } catch (Exception e) { // for example a failed warm-up or bind
      System.err.println("rushwood: cannot start: " + e.getMessage());
      System.exit(EXIT_CANNOT_START);
    }
  }

  /** Configures JSON output. Has to be called before the first line is logged. */
  private static void logAsJson(String file) {
    Configuration.set("writer", "json");
    Configuration.set("writer.file", file);
    Configuration.set("writer.format", "LDJSON");
    Configuration.set("writer.field.time", "{date: yyyy-MM-dd'T'HH:mm:ss.SSS}");
    Configuration.set("writer.field.level", "{level}");
    Configuration.set("writer.field.message", "{message}");
  }
}
