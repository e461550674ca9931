package rushwood;

import java.io.IOException;
import org.tinylog.configuration.Configuration;
import rushwood.adapter.Adapter;
import rushwood.lifecycle.BadConfig;
import rushwood.lifecycle.Config;
import rushwood.lifecycle.Operator;
import rushwood.lifecycle.Reload;
import rushwood.lifecycle.Service;

/** The command line: one subcommand a job. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    String job = args.length == 1 ? args[0] : "";
    switch (job) {
      case "adapter" -> System.exit(Adapter.run(System.in, System.out, System.err));
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
      Reload.Signal hangUp = Reload.hear();
      Operator operator = Operator.read(System.getenv());
      if (operator.jsonLog() != null) {
        Configuration.set("writer", "json");
        Configuration.set("writer.file", operator.jsonLog());
        Configuration.set("writer.format", "LDJSON");
        Configuration.set("writer.field.time", "{date: yyyy-MM-dd'T'HH:mm:ss.SSS}");
        Configuration.set("writer.field.level", "{level}");
        Configuration.set("writer.field.message", "{message}");
      }
      Service service =
          new Service(Config.read(System.getenv()), operator, System.getenv(), hangUp);
      Runtime.getRuntime().addShutdownHook(new Thread(service::stop, "stop"));
      service.start();
    } catch (BadConfig e) {
      System.err.println("rushwood: " + e.getMessage());
      System.exit(2);
    } catch (Exception e) {
      System.err.println("rushwood: cannot start: " + e.getMessage());
      System.exit(1);
    }
  }
}
