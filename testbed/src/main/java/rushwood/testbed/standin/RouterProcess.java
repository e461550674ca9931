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

/**
 * A router as the operator starts it: its jar in a process of its own, told by a configuration
 * file.
 */
public final class RouterProcess implements AutoCloseable {
  private static final long START_TIMEOUT_MILLIS = 20_000; // ms: far above any start seen
  private static final long STOP_TIMEOUT_MILLIS =
      8_000; // ms: it answers for three seconds and a half after SIGTERM

  private final Process process;
  private final Path log;

  /** {@code cpus} names the cores that it may use as taskset has it, or is empty. */
  public RouterProcess(
      Path jar,
      List<String> flags,
      Path config,
      String settings,
      InetSocketAddress listen,
      String cpus)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    if (!cpus.isEmpty()) {
      command.addAll(List.of("taskset", "-c", cpus));
    }
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    command.addAll(List.of("-jar", jar.toString(), "serve"));
    log = Files.createTempFile("router", ".log");
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .redirectInput(new File("/dev/null"));
    builder.environment().put("NODE_CONFIG", config.toString());
    builder.environment().put("RUSHWOOD_SETTINGS", settings);
    process = builder.start();
    awaitReady(listen);
  }

  private void awaitReady(InetSocketAddress listen) throws IOException, InterruptedException {
    for (long waited = 0; waited < START_TIMEOUT_MILLIS && process.isAlive(); waited += 20) {
      try {
        new Socket(listen.getAddress(), listen.getPort()).close();
        return;
      } catch (IOException notYet) {
        Thread.sleep(20);
      }
    }
    throw new IOException("the router did not start: " + Files.readString(log));
  }

  public long pid() {
    return process.pid();
  }

  /** CPU time so far, in nanoseconds. */
  public long cpuNanos() {
    return process.toHandle().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
  }

  /** What it has logged so far. */
  public String log() throws IOException {
    return Files.readString(log);
  }

  /** Sends it a signal, by its name without SIG. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
  }

  public void terminate() {
    process.destroy();
  }

  /** Ends it in order; its log. */
  public String stop() throws IOException, InterruptedException {
    process.destroy();
    if (!process.waitFor(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      process.destroyForcibly().waitFor();
    }
    return Files.readString(log);
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    Files.deleteIfExists(log);
  }
}
