package rushwood.testbed.standin;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router as the operator starts it: its jar in a process of its own, with its log in a file. */
public final class RouterProcess implements AutoCloseable {
  /**
   * What a router is started from.
   *
   * @param flags flags of its virtual machine
   * @param settings the operator's settings file; empty for the default
   * @param cpus the cores that it may use, as {@code taskset -c} takes them; empty for all
   */
  public record Build(Path jar, List<String> flags, String settings, String cpus) {}

  private static final long START_TIMEOUT_MILLIS = 20_000; // a start takes a second or two
  private static final long POLL_MILLIS = 20;
  // A router serves on for three and a half seconds after SIGTERM.
  private static final long STOP_TIMEOUT_MILLIS = 8_000;

  private final Process process;
  private final Path log;

  /**
   * Starts a router and waits until it accepts connections.
   *
   * @param config the file that {@code NODE_CONFIG} names
   * @param listen where that file has it listen
   * @throws IOException with its log, if it does not accept connections in time
   */
  public RouterProcess(Build build, Path config, InetSocketAddress listen)
      throws IOException, InterruptedException {
    log = Files.createTempFile("router", ".log");
    ProcessBuilder builder =
        new ProcessBuilder(command(build))
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .redirectInput(new File("/dev/null"));
    builder.environment().put("NODE_CONFIG", config.toString());
    builder.environment().put("RUSHWOOD_SETTINGS", build.settings());
    process = builder.start();
    try {
      awaitReady(listen);
    } catch (IOException | InterruptedException e) {
      close();
      throw e;
    }
  }

  private static List<String> command(Build build) {
    List<String> command = new ArrayList<>();
    if (!build.cpus().isEmpty()) {
      command.addAll(List.of("taskset", "-c", build.cpus()));
    }
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(build.flags());
    command.addAll(List.of("-jar", build.jar().toString(), "serve"));
    return command;
  }

  private void awaitReady(InetSocketAddress listen) throws IOException, InterruptedException {
    for (long waited = 0;
        waited < START_TIMEOUT_MILLIS && process.isAlive();
        waited += POLL_MILLIS) {
      try {
        new Socket(listen.getAddress(), listen.getPort()).close();
        return;
      } catch (IOException notYet) {
        Thread.sleep(POLL_MILLIS);
      }
    }
    throw new IOException("the router did not start: " + Files.readString(log));
  }

  /** CPU time so far, in nanoseconds. */
  public long cpuNanos() {
    return process.toHandle().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
  }

  /** What it has logged so far. */
  public String log() throws IOException {
    return Files.readString(log);
  }

  /**
   * Sends it a signal, by its name without SIG.
   *
   * @throws IOException with its log, if it cannot be sent: the process has ended
   */
  public void signal(String name) throws IOException, InterruptedException {
    String pid = Long.toString(process.pid());
    int exitCode = new ProcessBuilder("kill", "-" + name, pid).start().waitFor();
    if (exitCode != 0) {
      throw new IOException("the router takes no SIG" + name + ", it has ended: " + log());
    }
  }

  /** Sends it SIGTERM and does not wait. */
  public void terminate() {
    process.destroy();
  }

  /** Has it stop, by force if it takes too long, and returns its log. */
  public String stop() throws IOException, InterruptedException {
    process.destroy();
    if (!process.waitFor(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      process.destroyForcibly().waitFor();
    }
    return Files.readString(log);
  }

  /** Kills it and deletes its log. */
  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    Files.deleteIfExists(log);
  }
}
