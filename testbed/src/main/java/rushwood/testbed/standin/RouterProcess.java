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

/** A router that runs from its jar in a process of its own and logs to a temporary file. */
public final class RouterProcess implements AutoCloseable {
  /**
   * The options with which a router process is started.
   *
   * @param jar the router's jar
   * @param jvmFlags the flags of the Java virtual machine
   * @param settings the path of the operator's settings file; empty for the default
   * @param cpus the list of cores that it may use, in the form of {@code taskset -c}; empty for all
   */
  public record LaunchOptions(Path jar, List<String> jvmFlags, String settings, String cpus) {}

  private static final long START_TIMEOUT_MILLIS = 20_000; // a start takes a second or two
  private static final long POLL_INTERVAL_MILLIS = 20;
  // After SIGTERM a router takes up to about 3.6 s to exit.
  private static final long STOP_TIMEOUT_MILLIS = 8_000;

  private final Process process;
  private final Path log;

  /**
   * Starts a router and waits until it accepts connections.
   *
   * @param config the router's configuration file
   * @param listen the listen address in that file
   * @throws IOException if the process cannot be created, or if it ends or accepts no connection in
   *     time; then the message contains the router's log
   */
  public RouterProcess(LaunchOptions options, Path config, InetSocketAddress listen)
      throws IOException, InterruptedException {
    log = Files.createTempFile("router", ".log");
    ProcessBuilder builder =
        new ProcessBuilder(command(options))
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .redirectInput(new File("/dev/null"));
    builder.environment().put("NODE_CONFIG", config.toString());
    builder.environment().put("RUSHWOOD_SETTINGS", options.settings());
    process = builder.start();
    try {
      awaitReady(listen);
    } catch (IOException | InterruptedException e) {
      close();
      throw e;
    }
  }

  private static List<String> command(LaunchOptions options) {
    List<String> command = new ArrayList<>();
    if (!options.cpus().isEmpty()) {
      command.addAll(List.of("taskset", "-c", options.cpus()));
    }
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options.jvmFlags());
    command.addAll(List.of("-jar", options.jar().toString(), "serve"));
    return command;
  }

  private void awaitReady(InetSocketAddress listen) throws IOException, InterruptedException {
    for (long waited = 0;
        waited < START_TIMEOUT_MILLIS && process.isAlive();
        waited += POLL_INTERVAL_MILLIS) {
      try {
        new Socket(listen.getAddress(), listen.getPort()).close();
        return;
      } catch (IOException notListening) {
        Thread.sleep(POLL_INTERVAL_MILLIS);
      }
    }
    throw new IOException("the router did not start: " + Files.readString(log));
  }

  /** Returns the CPU time of the process in nanoseconds; 0 if it is not available. */
  public long cpuNanos() {
    return process.toHandle().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
  }

  /** Returns what the router has logged so far. */
  public String log() throws IOException {
    return Files.readString(log);
  }

  /**
   * Sends the router a signal.
   *
   * @param name the name of the signal without SIG
   * @throws IOException if the signal cannot be sent because the process has ended; the message
   *     contains the router's log
   */
  public void signal(String name) throws IOException, InterruptedException {
    String pid = Long.toString(process.pid());
    int exitCode = new ProcessBuilder("kill", "-" + name, pid).start().waitFor();
    if (exitCode != 0) {
      throw new IOException("cannot send SIG" + name + ", the router has ended: " + log());
    }
  }

  /** Sends the router SIGTERM and returns without waiting for its end. */
  public void terminate() {
    process.destroy();
  }

  /** Stops the router with SIGTERM, kills it if that takes too long, and returns its log. */
  public String stop() throws IOException, InterruptedException {
    process.destroy();
    if (!process.waitFor(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      process.destroyForcibly().waitFor();
    }
    return Files.readString(log);
  }

  /** Kills the router and deletes its log. */
  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    Files.deleteIfExists(log);
  }
}
