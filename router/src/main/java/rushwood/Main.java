package rushwood;

import java.io.IOException;
import org.tinylog.configuration.Configuration;
import rushwood.config.InvalidConfigException;
import rushwood.config.OperatorSettings;
import rushwood.config.RouterConfig;
import rushwood.server.HangUpSignal;
import rushwood.server.RouterServer;
import rushwood.simulator.SimulatorAdapter;

/** The command line: one subcommand a job. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    String command = args.length == 1 ? args[0] : "";
    switch (command) {
      case "adapter" -> System.exit(SimulatorAdapter.run(System.in, System.out, System.err));
      case "serve" -> serve();
      default -> {
        System.err.println("usage: rushwood adapter | serve");
        System.exit(2);
      }
    }
  }

  /** Returns once it serves; the event loop goes on until SIGTERM. */
  private static void serve() {
    try {
      HangUpSignal hangUpSignal = HangUpSignal.install();
      OperatorSettings operatorSettings = OperatorSettings.read(System.getenv());
      if (operatorSettings.jsonLogFile() != null) {
        Configuration.set("writer", "json");
        Configuration.set("writer.file", operatorSettings.jsonLogFile());
        Configuration.set("writer.format", "LDJSON");
        Configuration.set("writer.field.time", "{date: yyyy-MM-dd'T'HH:mm:ss.SSS}");
        Configuration.set("writer.field.level", "{level}");
        Configuration.set("writer.field.message", "{message}");
      }
      RouterServer server =
          new RouterServer(
              RouterConfig.read(System.getenv()), operatorSettings, System.getenv(), hangUpSignal);
      Runtime.getRuntime().addShutdownHook(new Thread(server::stop, "stop"));
      server.start();
    } catch (InvalidConfigException e) {
      System.err.println("rushwood: " + e.getMessage());
      System.exit(2);
    } catch (Exception e) {
      System.err.println("rushwood: cannot start: " + e.getMessage());
      System.exit(1);
    }
  }
}
