import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A router, started with the line {@code run} of the deploy file. */
final class RouterProcess implements AutoCloseable {
  private final Process process;
  private final Path folder;

  /**
   * Starts a router.
   *
   * @param settings the file with its settings
   * @param known the endpoint list that it held last
   */
  RouterProcess(Path root, Path settings, int listenPort, int discoveryPort, String known)
      throws IOException {
    folder = Files.createTempDirectory("case");
    Path file =
        Files.writeString(
            folder.resolve("config.json"),
            "{\"name\": \"n1\", \"listen\": \"127.0.0.1:" + listenPort
                + "\", \"discovery\": \"127.0.0.1:" + discoveryPort
                + "\", \"seed\": \"8c1f30d27a5be964\", \"limits\": {\"cores\": 1.0, \"memory_mb\": 192,"
                + " \"sockets\": 1024}, \"known\": " + known
                + ", \"settings\": " + Files.readString(settings) + "}");
    Path temporary = Files.createDirectories(folder.resolve("tmp"));
    String run = "";
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        run = line.substring("run = \"".length(), line.length() - 1);
      }
    }
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", run)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("router.log").toFile())
            .redirectInput(new File("/dev/null"));
    builder.environment().put("NODE_CONFIG", file.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    builder.environment().remove("NODE_NAME");
    builder.environment().remove("NODE_LISTEN");
    builder.environment().remove("NODE_DISCOVERY");
    process = builder.start();
  }

  /** Waits until the router has answered an empty query. */
  boolean awaitReady(int port) throws InterruptedException {
    for (int i = 0; i < 300 && process.isAlive(); i++) {
      try (AskingClient client = new AskingClient(port)) {
        if (client.ask("").equals("empty")) {
          return true;
        }
      } catch (IOException notYet) {
        // not listening yet
      }
      Thread.sleep(100);
    }
    return false;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public void close() throws IOException {
    process.destroy();
    try {
      if (!process.waitFor(8, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
